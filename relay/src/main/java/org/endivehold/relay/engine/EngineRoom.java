package org.endivehold.relay.engine;

import java.util.Comparator;
import java.util.List;

/**
 * The free memory and slots of one engine, and how they are predicted to grow as its jobs end.
 *
 * @param engine id of the engine
 * @param freeTokens memory that requests may still take, in tokens
 * @param freeSlots slots that are not in use
 * @param releases what the jobs give back, ordered by time
 */
public record EngineRoom(String engine, double freeTokens, int freeSlots, List<PredictedRelease> releases) {
    /** Orders the releases by time and keeps an immutable copy. */
    public EngineRoom {
        releases = releases.stream()
                .sorted(Comparator.comparingDouble(PredictedRelease::atMillis))
                .toList();
    }

    /** Returns the memory that jobs predicted to end by a time give back, in tokens. */
    public long tokensReleasedBy(double millis) {
        return releases.stream()
                .filter(release -> release.atMillis() <= millis)
                .mapToLong(PredictedRelease::tokens)
                .sum();
    }

    /** Returns the slots that jobs predicted to end by a time give back. */
    public int slotsReleasedBy(double millis) {
        return releases.stream()
                .filter(release -> release.atMillis() <= millis)
                .mapToInt(PredictedRelease::slots)
                .sum();
    }

    /**
     * Predicts when the engine has some memory and slots free.
     *
     * @param tokens memory needed, in tokens
     * @param slots slots needed
     * @param now time in milliseconds
     * @return the time in milliseconds, {@code now} if they are free; infinite if they do not come free with the jobs
     *     that are known
     */
    public double freeAtMillis(long tokens, int slots, double now) {
        double memory = freeTokens;
        int free = freeSlots;
        double time = now;
        for (PredictedRelease release : releases) {
            if (memory >= tokens && free >= slots) {
                return time;
            }
            memory += release.tokens();
            free += release.slots();
            time = Math.max(now, release.atMillis());
        }
        return memory >= tokens && free >= slots ? time : Double.POSITIVE_INFINITY;
    }
}
