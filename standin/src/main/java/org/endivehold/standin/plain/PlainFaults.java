package org.endivehold.standin.plain;

/**
 * Faults injected into a stand-in for a plain service.
 *
 * @param refuse whether it refuses all calls with an error that says that they were not run
 * @param freeze whether it accepts connections and sends nothing
 * @param delayMillis duration of a call, in milliseconds
 * @param loseEvery the answer to every n-th call is lost after the call has taken effect; 0 for none
 */
public record PlainFaults(boolean refuse, boolean freeze, long delayMillis, int loseEvery) {
    /** No faults, and calls that take 5 ms. */
    public static final PlainFaults NONE = new PlainFaults(false, false, 5, 0);

    /**
     * Returns faults of a service that loses answers to calls that took effect.
     *
     * @param every loses the answer to every n-th call
     * @return the faults
     */
    public static PlainFaults losing(int every) {
        return new PlainFaults(false, false, NONE.delayMillis(), every);
    }
}
