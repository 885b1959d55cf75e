package org.endivehold.bench.slope;

import java.util.Arrays;
import org.endivehold.error.EndiveholdException;

/** Measures the duration of a step: the median of 15 rounds of 40 ms, after two warm-up rounds. */
final class Stopwatch {
    private static final int ROUNDS = 15;
    private static final long ROUND_NANOS = 40_000_000L;
    private static final double NANOS_PER_MICRO = 1_000;

    private Stopwatch() {}

    /** The step to measure. */
    @FunctionalInterface
    interface Step {
        /**
         * Runs the step once.
         *
         * @return a result of the work, so that the JIT compiler cannot eliminate it
         * @throws EndiveholdException if the step fails
         */
        Object run() throws EndiveholdException;
    }

    /** Returns the median duration of one step in microseconds. */
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
