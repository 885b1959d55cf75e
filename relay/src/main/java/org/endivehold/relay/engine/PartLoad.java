package org.endivehold.relay.engine;

/**
 * Share of the engines' time that prefills take, as an exponentially decaying average.
 *
 * <p>The prefill of a part is preempted by parts that arrive while it runs. A long prefill therefore takes longer than
 * its own length, by the share of time that later parts take.
 */
final class PartLoad {
    /** Time constant of the decay, in milliseconds. */
    private static final double TIME_CONSTANT_MILLIS = 3_000;
    /** Upper bound of the share: some time is always left for the prefill itself. */
    private static final double MAX_SHARE = 0.65;

    private double prefillMillis;
    private double decayedAt;

    /** Adds a prefill at one engine. */
    void add(double millis, double now) {
        decay(now);
        prefillMillis += millis;
    }

    /** Returns the share of an engine's time, averaged over all engines, from 0 to the upper bound. */
    double share(int engines, double now) {
        decay(now);
        return Math.min(MAX_SHARE, prefillMillis / TIME_CONSTANT_MILLIS / Math.max(1, engines));
    }

    /** Returns the share of one engine's time without one of the prefills that were added. */
    double shareWithout(double millis, double addedAt, double now) {
        decay(now);
        double own = millis * Math.exp(Math.min(0, addedAt - now) / TIME_CONSTANT_MILLIS);
        return Math.min(MAX_SHARE, Math.max(0, prefillMillis - own) / TIME_CONSTANT_MILLIS);
    }

    private void decay(double now) {
        if (now > decayedAt) {
            prefillMillis *= Math.exp((decayedAt - now) / TIME_CONSTANT_MILLIS);
            decayedAt = now;
        }
    }
}
