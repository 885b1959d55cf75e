package org.endivehold.relay.serve;

/**
 * Limits of a deployment that the serving path observes.
 *
 * @param graceMillis time from the stop signal until the process is killed, in milliseconds
 * @param coldOverage allowed request rate of a cold upstream as a multiple of the rate that its service states
 * @param coldSlack requests per second that a cold upstream may get beyond that rate
 * @param retryRatio retries allowed per request
 * @param retrySlack retries that all daemons together may make in a window beyond that ratio
 * @param retryWindowMillis length of the window for retries, in milliseconds
 * @param stableWindowMillis time after connections went silent within which that has to be noticed, in milliseconds
 */
public record RelayBounds(
        long graceMillis,
        double coldOverage,
        double coldSlack,
        double retryRatio,
        double retrySlack,
        double retryWindowMillis,
        int stableWindowMillis) {}
