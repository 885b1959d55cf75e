package org.endivehold.admission;

/**
 * Bounds for one customer at one daemon.
 *
 * @param maxConcurrent most requests in progress
 * @param maxQueued most requests waiting
 */
public record CustomerLimits(int maxConcurrent, int maxQueued) {}
