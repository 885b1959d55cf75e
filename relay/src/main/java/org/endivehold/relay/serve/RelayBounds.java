package org.endivehold.relay.serve;

/**
 * Limits of a deployment that the serving path keeps.
 *
 * @param graceMillis time from the signal to stop until the process is killed
 * @param coldOverage part of a cold upstream's rate that is allowed
 * @param coldSlack further requests a second to a cold upstream
 * @param retryRatio repeats allowed for each request
 * @param retrySlack further repeats in a window, of all daemons together
 * @param retryWindowMillis length of that window
 */
public record RelayBounds(
        long graceMillis,
        double coldOverage,
        double coldSlack,
        double retryRatio,
        double retrySlack,
        double retryWindowMillis) {}
