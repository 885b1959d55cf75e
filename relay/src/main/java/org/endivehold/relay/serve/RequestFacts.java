package org.endivehold.relay.serve;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request say.
 *
 * @param attempt id of this attempt of the caller
 * @param remainingMillis how long the caller will wait
 * @param apiKey its key
 * @param promptTokens length of the prompt; 0 for other requests
 * @param outputTokens most tokens of the answer; 0 for other requests
 * @param resumeAfter last event that the caller has
 */
public record RequestFacts(
        String attempt,
        OptionalLong remainingMillis,
        Optional<String> apiKey,
        long promptTokens,
        long outputTokens,
        OptionalLong resumeAfter) {}
