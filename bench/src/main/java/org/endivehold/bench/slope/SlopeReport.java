package org.endivehold.bench.slope;

import java.util.List;

/**
 * All slopes of one run.
 *
 * @param processors processors of the machine
 * @param loadAverage its load average at the end; times are upper bounds when it exceeds the processors
 * @param slopes the slopes
 */
public record SlopeReport(int processors, double loadAverage, List<Slope> slopes) {
    /** Copies the list. */
    public SlopeReport {
        slopes = List.copyOf(slopes);
    }
}
