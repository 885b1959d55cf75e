package org.endivehold.relay.serve;

import java.util.OptionalDouble;

/**
 * How much slower than predicted an engine writes.
 *
 * <p>A long pause may come from reads of others, but a short one cannot come from a slow engine: the shortest of some
 * pauses in a row tells the pace.
 */
final class PaceMeter {
    /** Pauses that make one measurement. */
    private static final int PAUSES = 4;
    /** Pauses up to this many times the prediction are taken as normal. */
    private static final double TOLERANCE = 1.6;

    private double shortest = Double.MAX_VALUE;
    private int count;

    void gap(double millis) {
        shortest = Math.min(shortest, millis);
        count++;
    }

    /** Returns the factor once enough pauses were seen, and starts anew. */
    OptionalDouble factor(double predictedMillis) {
        if (count < PAUSES) {
            return OptionalDouble.empty();
        }
        double factor = shortest / predictedMillis;
        shortest = Double.MAX_VALUE;
        count = 0;
        return OptionalDouble.of(factor < TOLERANCE ? 1 : factor);
    }
}
