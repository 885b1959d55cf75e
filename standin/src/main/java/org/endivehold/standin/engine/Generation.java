package org.endivehold.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.endivehold.misc.TokenCount;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.PrefixHashes;
import org.endivehold.upstream.protocol.CompletionBody;

/** One prompt on a stand-in engine, from acceptance to the last token. */
final class Generation {
    final CompletionBody body;
    final boolean export;
    final GroundTruth truth;
    final long[] prefixes;
    final long partHash;
    final long promptTokens;
    final long ownTokens;
    final long memoryTokens;
    final long arrival;
    final boolean matches;
    long cachedTokens;
    long prefillLeft;
    boolean begun;
    long produced;
    Optional<String> finish = Optional.empty();
    boolean broken;

    Generation(CompletionBody body, boolean export, long arrival) {
        this.body = body;
        this.export = export;
        this.arrival = arrival;
        byte[] utf8 = body.prompt().getBytes(StandardCharsets.UTF_8);
        truth = GroundTruth.of(body.prompt());
        partHash = GroundTruth.hash(utf8, 0, -1);
        long attached = body.attached().stream().mapToLong(CacheHandle::tokens).sum();
        promptTokens = TokenCount.estimate(utf8.length);
        ownTokens = Math.max(0, export ? promptTokens : promptTokens - attached);
        prefixes = attached == 0 ? PrefixHashes.of(utf8, TokenCount.BYTES_PER_TOKEN) : new long[0];
        memoryTokens = ownTokens + (export ? 0 : body.maxTokens());
        produced = body.deliveredTokens();
        matches = truth.text(0, produced).equals(body.delivered()) && (export || attachedMatch(utf8));
    }

    /** An attached cache names the hash of its text, so that a cache of another prompt is recognised. */
    private boolean attachedMatch(byte[] utf8) {
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
        return broken || finish.isPresent();
    }
}
