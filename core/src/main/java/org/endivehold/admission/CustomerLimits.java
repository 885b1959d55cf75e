package org.endivehold.admission;

/**
 * Limits of one customer at one daemon.
 *
 * @param maxConcurrent largest number of requests in progress
 * @param maxQueued largest number of waiting requests
 */
public record CustomerLimits(int maxConcurrent, int maxQueued) {}
