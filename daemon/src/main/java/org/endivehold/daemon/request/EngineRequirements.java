package org.endivehold.daemon.request;

import java.util.HashSet;
import java.util.Set;
import org.endivehold.config.RequestClass;
import org.endivehold.misc.TokenCount;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.placement.PlacementRequest;
import org.endivehold.upstream.PrefixHashes;

/** What one request requires of an engine, and the engines that have failed it. */
final class EngineRequirements {
    private static final int PRIORITY_SHORT_INTERACTIVE = 2;
    private static final int PRIORITY_LONG_INTERACTIVE = 1;
    private static final int PRIORITY_DEFERRABLE = 0;

    private final GenerationCall call;
    private final VersionName version;
    private final long[] prefixHashes;
    private final Set<UpstreamName> failedUpstreams = new HashSet<>();

    /**
     * Derives the requirements of a call.
     *
     * @param call a call on a generation route
     */
    EngineRequirements(GenerationCall call) {
        this.call = call;
        this.version = call.route().version().orElseThrow();
        byte[] bytes = call.prompt().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        this.prefixHashes = PrefixHashes.of(bytes, TokenCount.BYTES_PER_TOKEN);
    }

    VersionName version() {
        return version;
    }

    long[] prefixHashes() {
        return prefixHashes;
    }

    long promptTokens() {
        return call.promptTokens();
    }

    /** Returns the KV memory for the prompt and the longest possible answer, in tokens. */
    long memoryTokens() {
        return call.promptTokens() + call.maxTokens();
    }

    boolean isLong() {
        return call.promptTokens() > call.route().longPromptTokens();
    }

    /** Returns the engines that failed this request, which are avoided while other candidates have room. */
    Set<UpstreamName> failedUpstreams() {
        return failedUpstreams;
    }

    /** Returns the priority that the engine gives the request; a larger number is more urgent. */
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
