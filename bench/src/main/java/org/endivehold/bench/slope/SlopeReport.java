package org.endivehold.bench.slope;

import java.util.List;

/**
 * Report of all slopes measured in one run; its JSON file uses the component names as keys.
 *
 * @param processors number of processors of the machine
 * @param loadAverage load average at the end; if it exceeds the number of processors, the times are upper bounds
 * @param slopes the measured slopes
 */
public record SlopeReport(int processors, double loadAverage, List<Slope> slopes) {
    /** Makes an unmodifiable copy of the list. */
    public SlopeReport {
        slopes = List.copyOf(slopes);
    }
}
