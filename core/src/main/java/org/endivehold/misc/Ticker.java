package org.endivehold.misc;

/** A monotonic clock; timeouts and leases must not use any other, because wall-clock time can jump. */
@FunctionalInterface
public interface Ticker {
    /**
     * Reads the clock.
     *
     * @return milliseconds since an arbitrary origin, never decreasing
     */
    long millis();

    /**
     * Creates a ticker over the system's monotonic clock.
     *
     * @return a ticker over {@link System#nanoTime} whose origin is the time of this call
     */
    static Ticker system() {
        long origin = System.nanoTime();
        return () -> (System.nanoTime() - origin) / 1_000_000L;
    }
}
