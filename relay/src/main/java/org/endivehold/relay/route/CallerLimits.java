package org.endivehold.relay.route;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerBytes most bytes of a request's headers
 * @param bodyBytes most bytes of a request's body
 * @param headerMillis longest time for the headers to arrive
 * @param idleMillis longest time that a connection stays open without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, int headerMillis, int idleMillis) {}
