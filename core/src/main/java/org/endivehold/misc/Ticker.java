package org.endivehold.misc;

/** A monotonic source of time; the only clock that a timeout or a lease may use. */
@FunctionalInterface
public interface Ticker {
    /**
     * Reads the clock.
     *
     * @return milliseconds since an arbitrary origin, never decreasing
     */
    long millis();

    /**
     * Returns the clock of this process.
     *
     * @return a ticker over {@link System#nanoTime}
     */
    static Ticker system() {
        long origin = System.nanoTime();
        return () -> (System.nanoTime() - origin) / 1_000_000L;
    }
}
