package org.endivehold.config;

import java.util.Set;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;

/**
 * A model engine or a plain service.
 *
 * @param name the upstream
 * @param kind engine or plain service
 * @param zone its availability zone
 * @param address IP address
 * @param port TCP port
 * @param state whether it takes new work
 * @param versions versions that an engine may serve
 * @param slots streams or calls that it bears at once when warm
 * @param coldSlots streams or calls that it bears at once in cold start
 * @param memoryTokens KV memory in tokens; 0 for a plain service
 * @param prefillTokensPerSecond nominal prefill rate; 0 for a plain service
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record Upstream(
        UpstreamName name,
        Kind kind,
        ZoneName zone,
        String address,
        int port,
        State state,
        Set<VersionName> versions,
        int slots,
        int coldSlots,
        long memoryTokens,
        long prefillTokensPerSecond,
        boolean checksFencing) {
    /** What an upstream is. */
    public enum Kind {
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        PLAIN
    }

    /** Whether an upstream takes new work. */
    public enum State {
        /** New work goes there. */
        SERVING,
        /** It finishes what it has and gets nothing new. */
        LEAVING
    }
}
