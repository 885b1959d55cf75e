package org.endivehold.standin.plain;

/**
 * Faults of a stand-in for a plain service.
 *
 * @param refuse whether it refuses all calls, truthfully
 * @param freeze whether it accepts connections and says nothing
 * @param delayMillis time that a call takes, in milliseconds
 * @param loseEvery every how many calls the answer is lost after the call took effect; 0 for none
 */
public record PlainFaults(boolean refuse, boolean freeze, long delayMillis, int loseEvery) {
    /** No faults, and calls that take 5 ms. */
    public static final PlainFaults NONE = new PlainFaults(false, false, 5, 0);

    /**
     * Makes faults of a service that loses answers.
     *
     * @param every every how many calls
     * @return the faults
     */
    public static PlainFaults losing(int every) {
        return new PlainFaults(false, false, NONE.delayMillis(), every);
    }
}
