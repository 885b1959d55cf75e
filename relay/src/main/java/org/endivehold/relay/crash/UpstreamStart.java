package org.endivehold.relay.crash;

/**
 * One start of an upstream; a later start may have the same id.
 *
 * @param upstream id of the upstream
 * @param startedAtMillis time of day of its start, in milliseconds; 0 if unknown
 */
public record UpstreamStart(String upstream, long startedAtMillis) {}
