package org.endivehold.relay.route;

/**
 * Limits on the size and timing of callers' requests.
 *
 * @param headerBytes largest size of the headers of a request, in bytes
 * @param bodyBytes largest size of the body of a request, in bytes
 * @param headerMillis time limit for the headers to arrive
 * @param idleMillis time after which a connection without a request is closed
 */
public record CallerLimits(int headerBytes, int bodyBytes, int headerMillis, int idleMillis) {
    /** The limits while no configuration states others. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
