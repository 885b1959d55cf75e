package org.endivehold.bench.experiment;

import org.endivehold.bench.fleet.Fleet;
import org.endivehold.error.EndiveholdException;

/**
 * Something that happens to the fleet during an experiment.
 *
 * @param atMillis when, in milliseconds from the start of the workload
 * @param label what, for the report
 * @param action does it
 */
public record Disturbance(long atMillis, String label, Action action) {
    /** Disturbs a fleet. */
    @FunctionalInterface
    public interface Action {
        /**
         * Disturbs.
         *
         * @param fleet the fleet
         * @throws EndiveholdException if it cannot be done
         */
        void run(Fleet fleet) throws EndiveholdException;
    }
}
