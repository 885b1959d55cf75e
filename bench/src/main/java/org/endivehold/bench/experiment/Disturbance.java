package org.endivehold.bench.experiment;

import org.endivehold.bench.fleet.Fleet;
import org.endivehold.error.EndiveholdException;

/**
 * A change made to the fleet at a given time of an experiment, such as a fault or a publish.
 *
 * @param atMillis time from the start of the workload, in milliseconds
 * @param label description for the report
 * @param action makes the change
 */
public record Disturbance(long atMillis, String label, Action action) {
    /** Makes a change to a fleet. */
    @FunctionalInterface
    public interface Action {
        /**
         * Makes the change.
         *
         * @param fleet the fleet
         * @throws EndiveholdException if the change fails
         */
        void run(Fleet fleet) throws EndiveholdException;
    }
}
