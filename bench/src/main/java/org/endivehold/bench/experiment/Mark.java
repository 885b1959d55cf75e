package org.endivehold.bench.experiment;

/**
 * When a disturbance took place.
 *
 * @param label what
 * @param runMillis time of the workload in milliseconds
 * @param logMillis time of the stand-ins' log in milliseconds
 */
public record Mark(String label, double runMillis, long logMillis) {}
