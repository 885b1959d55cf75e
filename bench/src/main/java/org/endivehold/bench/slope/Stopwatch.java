package org.endivehold.bench.slope;

import java.util.Arrays;
import org.endivehold.error.EndiveholdException;

/** Times a step: the median of many rounds, after a warm-up. */
final class Stopwatch {
    private static final int ROUNDS = 15;
    private static final long ROUND_NANOS = 40_000_000L;
    private static final double NANOS_PER_MICRO = 1_000;

    private Stopwatch() {}

    /** A step to time. */
    @FunctionalInterface
    interface Step {
        /**
         * Does the step.
         *
         * @return anything that depends on the work, so that it is not left out
         * @throws EndiveholdException if it fails
         */
        Object run() throws EndiveholdException;
    }

    /** Returns the median time of one step in microseconds. */
    static double micros(Step step) throws EndiveholdException {
        double[] rounds = new double[ROUNDS];
        int sink = 0;
        for (int i = -2; i < ROUNDS; i++) {
            long from = System.nanoTime();
            int count = 0;
            do {
                sink ^= System.identityHashCode(step.run());
                count++;
            } while (System.nanoTime() - from < ROUND_NANOS);
            if (i >= 0) {
                rounds[i] = (System.nanoTime() - from) / NANOS_PER_MICRO / count;
            }
        }
        Arrays.sort(rounds);
        return rounds[ROUNDS / 2] + (sink == 1 ? Double.MIN_VALUE : 0);
    }
}
