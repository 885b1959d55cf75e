package org.endivehold.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.endivehold.misc.TokenCount;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.PrefixHashes;
import org.endivehold.upstream.protocol.CompletionBody;

/** State of one completion or prefill on a stand-in engine, from acceptance to its end. */
final class Generation {
    final CompletionBody body;
    /** Whether only the KV cache is computed and exported, without decoding. */
    final boolean export;

    final GroundTruth expectedAnswer;
    final long[] prefixHashes;
    final long promptHash;
    final long promptTokens;
    /** Prompt tokens that no attached cache covers. */
    final long unattachedTokens;
    /** KV memory that is reserved until the end, in tokens. */
    final long memoryTokens;
    /** Sequence number of acceptance. */
    final long arrival;
    /** Whether the delivered text and the attached caches belong to the prompt. */
    final boolean matchesPrompt;

    long cachedTokens;
    long remainingPrefillTokens;
    boolean prefillStarted;
    long producedTokens;
    /** Finish reason, or the id of the exported cache; empty while running and when broken. */
    Optional<String> result = Optional.empty();
    /** Whether it was cancelled or the engine restarted. */
    boolean broken;

    Generation(CompletionBody body, boolean export, long arrival) {
        this.body = body;
        this.export = export;
        this.arrival = arrival;
        byte[] utf8 = body.prompt().getBytes(StandardCharsets.UTF_8);
        expectedAnswer = GroundTruth.of(body.prompt());
        promptHash = GroundTruth.hash(utf8, 0, -1);
        long attached = body.attached().stream().mapToLong(CacheHandle::tokens).sum();
        promptTokens = TokenCount.estimate(utf8.length);
        unattachedTokens = Math.max(0, export ? promptTokens : promptTokens - attached);
        prefixHashes = attached == 0 ? PrefixHashes.of(utf8, TokenCount.BYTES_PER_TOKEN) : new long[0];
        memoryTokens = unattachedTokens + (export ? 0 : body.maxTokens());
        producedTokens = body.deliveredTokens();
        matchesPrompt = expectedAnswer.text(0, producedTokens).equals(body.delivered())
                && (export || attachedCachesMatch(utf8));
    }

    /** Compares the hash of the text at the end of each cache id, so that a cache of another prompt is detected. */
    private boolean attachedCachesMatch(byte[] utf8) {
        int from = 0;
        for (CacheHandle handle : body.attached()) {
            int length = (int) Math.min(handle.tokens() * TokenCount.BYTES_PER_TOKEN, utf8.length - from);
            if (!handle.id().endsWith("." + Long.toHexString(GroundTruth.hash(utf8, from, length)))) {
                return false;
            }
            from += length;
        }
        return true;
    }

    String id() {
        return body.streamId().value();
    }

    boolean hasEnded() {
        return broken || result.isPresent();
    }
}
