package org.endivehold.upstream;

import org.endivehold.misc.BootNumber;

/**
 * Load report of a plain service. It describes the state as of {@code ageMillis} ago.
 *
 * @param boot boot number, which changes with each restart of the service
 * @param cold whether the service reports that it is in cold start
 * @param slots maximum number of concurrent calls when warm
 * @param inFlight number of calls in progress
 * @param overloadEvents number of times since boot that it received more work than it has capacity for
 * @param ageMillis age of the report in milliseconds
 */
public record PlainLoad(BootNumber boot, boolean cold, int slots, int inFlight, long overloadEvents, long ageMillis) {}
