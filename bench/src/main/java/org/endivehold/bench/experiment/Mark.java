package org.endivehold.bench.experiment;

/**
 * Time at which a disturbance took place, on both clocks of a run.
 *
 * @param label label of the disturbance
 * @param runMillis time since the start of the workload, in milliseconds
 * @param logMillis timestamp on the clock of the stand-in log, in milliseconds
 */
public record Mark(String label, double runMillis, long logMillis) {}
