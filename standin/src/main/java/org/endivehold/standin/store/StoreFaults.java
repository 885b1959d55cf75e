package org.endivehold.standin.store;

/**
 * Faults of the stand-in for the key-value service.
 *
 * @param outage whether it closes every connection without an answer and without effect
 * @param delayMillis time before each call takes effect, in milliseconds
 * @param lost what happens to writes whose answer is lost
 * @param loseEvery every how many writes the answer is lost; 0 for none
 * @param lateMillis time until a late write takes effect, in milliseconds
 */
public record StoreFaults(boolean outage, long delayMillis, LostWrite lost, int loseEvery, long lateMillis) {
    /** What happens to a write whose answer is lost. */
    public enum LostWrite {
        /** It takes effect before the answer is lost. */
        APPLIED,
        /** It takes effect some time after the answer was lost. */
        LATE,
        /** It never takes effect. */
        NEVER
    }

    /** No faults. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, LostWrite.APPLIED, 0, 0);

    /** The service is away. */
    public static final StoreFaults OUTAGE = new StoreFaults(true, 0, LostWrite.APPLIED, 0, 0);

    /**
     * Makes faults of a slow service.
     *
     * @param millis delay of each call in milliseconds
     * @return the faults
     */
    public static StoreFaults slow(long millis) {
        return new StoreFaults(false, millis, LostWrite.APPLIED, 0, 0);
    }

    /**
     * Makes faults of a service that loses answers to writes.
     *
     * @param lost what happens to those writes
     * @param every every how many writes
     * @param lateMillis time until a late write takes effect, in milliseconds
     * @return the faults
     */
    public static StoreFaults losing(LostWrite lost, int every, long lateMillis) {
        return new StoreFaults(false, 0, lost, every, lateMillis);
    }
}
