package org.endivehold.relay.serve;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an upstream is told beside the caller's own request.
 *
 * @param upstream id that the upstream must have
 * @param remainingMillis how long it may take
 * @param customer name of the customer
 * @param helpers addresses of the engines that read parts of the prompt, with reservations
 * @param resumeAfter last event that the caller has
 */
public record UpstreamCall(
        String upstream,
        long remainingMillis,
        Optional<String> customer,
        List<String> helpers,
        OptionalLong resumeAfter) {
    /** Keeps an immutable copy of the helpers. */
    public UpstreamCall {
        helpers = List.copyOf(helpers);
    }
}
