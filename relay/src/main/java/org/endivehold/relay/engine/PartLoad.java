package org.endivehold.relay.engine;

/**
 * Share of the engines' time that prefills of split prompts take, as an exponentially decaying average.
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

    /** Adds the prefill of one part at one engine. */
    void add(double millis, double now) {
        decay(now);
        prefillMillis += millis;
    }

    /** Returns the share of an engine's time, averaged over all engines, from 0 to the upper bound. */
    double share(int engines, double now) {
        decay(now);
        return Math.min(MAX_SHARE, prefillMillis / TIME_CONSTANT_MILLIS / Math.max(1, engines));
    }

    private void decay(double now) {
        if (now > decayedAt) {
            prefillMillis *= Math.exp((decayedAt - now) / TIME_CONSTANT_MILLIS);
            decayedAt = now;
        }
    }
}
