package org.endivehold.relay.serve;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.endivehold.relay.crash.RequestTrait;

/**
 * Headers of a caller's request that the serving path evaluates.
 *
 * @param attemptId id that the caller gave this attempt; null if it gave none
 * @param remainingMillis how long the caller will wait
 * @param apiKey API key of the caller, if any
 * @param promptTokens length of the prompt, in tokens; 0 if this is no generation request
 * @param outputTokens maximum length of the output, in tokens; 0 if this is no generation request
 * @param sharedParts the parts of the prompt that other requests may share, in order; without its last part, which is
 *     the request's own
 * @param resumeAfter id of the last event that the caller has received, if it resumes a stream
 */
public record CallerRequestHead(
        String attemptId,
        OptionalLong remainingMillis,
        Optional<String> apiKey,
        long promptTokens,
        long outputTokens,
        List<RequestTrait> sharedParts,
        OptionalLong resumeAfter) {
    /** Keeps an immutable copy of the parts. */
    public CallerRequestHead {
        sharedParts = List.copyOf(sharedParts);
    }
}
