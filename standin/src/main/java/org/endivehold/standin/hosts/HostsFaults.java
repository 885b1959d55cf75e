package org.endivehold.standin.hosts;

/**
 * Faults of the stand-in for the host list.
 *
 * @param outage whether it closes every connection without an answer
 * @param lagMillis time until a change shows, in milliseconds
 */
public record HostsFaults(boolean outage, long lagMillis) {
    /** No faults: changes show at once. */
    public static final HostsFaults NONE = new HostsFaults(false, 0);
}
