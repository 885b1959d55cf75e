package org.endivehold.upstream;

import org.endivehold.misc.BootNumber;

/**
 * A load report of a plain service, as old as its lag.
 *
 * @param boot boot number
 * @param cold whether the service says that it is in cold start
 * @param slots calls that it can run at once when warm
 * @param inFlight calls that it runs
 * @param overloadEvents number of times since boot that it got more work than it could bear
 * @param ageMillis age of the report in milliseconds
 */
public record PlainLoad(BootNumber boot, boolean cold, int slots, int inFlight, long overloadEvents, long ageMillis) {}
