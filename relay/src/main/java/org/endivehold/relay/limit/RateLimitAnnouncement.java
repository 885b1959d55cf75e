package org.endivehold.relay.limit;

import java.util.OptionalDouble;

/**
 * What an upstream said about the requests that it takes.
 *
 * @param upstream id of the upstream
 * @param startedAtMillis its start; a later one with the same id knows nothing of it
 * @param perSecond requests a second that it takes from all daemons together; empty if it names no limit
 */
public record RateLimitAnnouncement(String upstream, long startedAtMillis, OptionalDouble perSecond) {}
