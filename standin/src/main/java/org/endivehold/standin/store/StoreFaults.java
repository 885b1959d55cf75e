package org.endivehold.standin.store;

/**
 * Faults injected into the stand-in for the key-value service.
 *
 * @param outage whether it closes every connection without an answer and no call takes effect
 * @param delayMillis delay before each call takes effect, in milliseconds
 * @param lost what happens to writes whose answer is lost
 * @param loseEvery the answer to every n-th write is lost; 0 for none
 * @param lateMillis delay until a {@link LostWrite#LATE} write takes effect, in milliseconds
 */
public record StoreFaults(boolean outage, long delayMillis, LostWrite lost, int loseEvery, long lateMillis) {
    /** What happens to a write whose answer is lost. */
    public enum LostWrite {
        /** It takes effect, and only its answer is lost. */
        APPLIED,
        /** It takes effect some time after the connection was closed. */
        LATE,
        /** It never takes effect. */
        NEVER
    }

    /** The service works normally. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, LostWrite.APPLIED, 0, 0);

    /** The service is unavailable. */
    public static final StoreFaults OUTAGE = new StoreFaults(true, 0, LostWrite.APPLIED, 0, 0);

    /**
     * Returns faults of a slow service.
     *
     * @param millis delay of each call in milliseconds
     * @return the faults
     */
    public static StoreFaults slow(long millis) {
        return new StoreFaults(false, millis, LostWrite.APPLIED, 0, 0);
    }

    /**
     * Returns faults of a service that loses answers to writes.
     *
     * @param lost what happens to those writes
     * @param every loses the answer to every n-th write
     * @param lateMillis delay until a {@link LostWrite#LATE} write takes effect, in milliseconds
     * @return the faults
     */
    public static StoreFaults losing(LostWrite lost, int every, long lateMillis) {
        return new StoreFaults(false, 0, lost, every, lateMillis);
    }
}
