package org.endivehold.relay.engine;

/**
 * How much of the engines' time parts of divided prompts take, as an average over the last seconds.
 *
 * <p>A part is overtaken by those that come while it is read. A read that takes long therefore takes longer still, by
 * the share of the time that later parts will take.
 */
final class PartLoad {
    /** Time in which the average loses most of what was, in milliseconds. */
    private static final double WINDOW_MILLIS = 3_000;
    /** Largest share that is believed: some time is always left. */
    private static final double MOST = 0.65;

    private double millis;
    private double at;

    void add(double readMillis, double now) {
        age(now);
        millis += readMillis;
    }

    /** Returns the share of one engine's time, from 0 up. */
    double share(int engines, double now) {
        age(now);
        return Math.min(MOST, millis / WINDOW_MILLIS / Math.max(1, engines));
    }

    private void age(double now) {
        if (now > at) {
            millis *= Math.exp((at - now) / WINDOW_MILLIS);
            at = now;
        }
    }
}
