package org.endivehold.relay.serve;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Values that are sent to an upstream in addition to the caller's own request.
 *
 * @param upstreamId id of the upstream that has to serve the request; others refuse it
 * @param remainingMillis time that the upstream has for its response, in milliseconds
 * @param customer name of the customer
 * @param helpers engines that read parts of the prompt: address (host:port), followed by a slash and the reservation id
 *     where memory is reserved
 * @param resumeAfter id of the last event that the caller has received, if the stream is resumed
 */
public record UpstreamHeaderValues(
        String upstreamId,
        long remainingMillis,
        Optional<String> customer,
        List<String> helpers,
        OptionalLong resumeAfter) {
    /** Keeps an immutable copy of the helpers. */
    public UpstreamHeaderValues {
        helpers = List.copyOf(helpers);
    }
}
