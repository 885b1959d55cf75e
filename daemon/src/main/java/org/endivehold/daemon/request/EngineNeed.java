package org.endivehold.daemon.request;

import java.util.HashSet;
import java.util.Set;
import org.endivehold.config.RequestClass;
import org.endivehold.misc.TokenCount;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.placement.PlacementRequest;
import org.endivehold.upstream.PrefixHashes;

/** What one request needs of an engine. */
final class EngineNeed {
    private static final int PRIORITY_SHORT_INTERACTIVE = 2;
    private static final int PRIORITY_LONG_INTERACTIVE = 1;
    private static final int PRIORITY_DEFERRABLE = 0;

    private final GenerationCall call;
    private final VersionName version;
    private final long[] hashes;
    private final Set<UpstreamName> failed = new HashSet<>();

    /**
     * Derives the need of a call.
     *
     * @param call a call on a generation route
     */
    EngineNeed(GenerationCall call) {
        this.call = call;
        this.version = call.route().version().orElseThrow();
        byte[] bytes = call.prompt().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        this.hashes = PrefixHashes.of(bytes, TokenCount.BYTES_PER_TOKEN);
    }

    VersionName version() {
        return version;
    }

    long[] hashes() {
        return hashes;
    }

    long promptTokens() {
        return call.promptTokens();
    }

    /** Returns the KV memory of prompt and longest answer, in tokens. */
    long memoryTokens() {
        return call.promptTokens() + call.maxTokens();
    }

    boolean isLong() {
        return call.promptTokens() > call.route().longPromptTokens();
    }

    /** Returns upstreams that failed this request and are avoided while there are others. */
    Set<UpstreamName> failed() {
        return failed;
    }

    /** Returns the priority at the engine; larger is more urgent. */
    int priority() {
        if (call.route().requestClass() == RequestClass.DEFERRABLE) {
            return PRIORITY_DEFERRABLE;
        }
        return isLong() ? PRIORITY_LONG_INTERACTIVE : PRIORITY_SHORT_INTERACTIVE;
    }

    PlacementRequest placement() {
        return new PlacementRequest(
                call.promptTokens(), call.maxTokens(), call.route().requestClass(), isLong());
    }
}
