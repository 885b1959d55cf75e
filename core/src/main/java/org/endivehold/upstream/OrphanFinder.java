package org.endivehold.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.endivehold.misc.UpstreamName;

/**
 * Finds exported caches on engines whose owner process has ended, so that their memory can be freed. Otherwise it would
 * stay occupied permanently.
 *
 * <p>Streams are not considered: they end by themselves, and a caller may resume one through another daemon, whereas a
 * cache is of use only to its owner. The grace period starts when the owner is first seen as ended. A live daemon whose
 * registration has lapsed registers again within that time.
 */
public final class OrphanFinder {
    /** Time from when the owner is first seen as ended until the release, in milliseconds. Longer than a lease. */
    static final long GRACE_MILLIS = 15_000;

    private final Map<CacheHandle, Long> orphanedSince = new HashMap<>();

    /**
     * Finds the caches whose grace period has passed. Each call also records when a cache was first seen without a live
     * owner, so it has to be made for every new load report.
     *
     * @param upstream the engine
     * @param load its load report
     * @param ended tests whether an owner's process has ended
     * @param now monotonic time in milliseconds
     * @return caches to release
     */
    public List<CacheHandle> find(UpstreamName upstream, EngineLoad load, Predicate<ResourceOwner> ended, long now) {
        Set<CacheHandle> orphans = new HashSet<>();
        for (EngineLoad.HeldCache cache : load.caches()) {
            if (ended.test(cache.owner())) {
                orphans.add(new CacheHandle(upstream, cache.id(), cache.tokens()));
            }
        }
        orphanedSince.keySet().removeIf(cache -> cache.upstream().equals(upstream) && !orphans.contains(cache));
        List<CacheHandle> overdue = new ArrayList<>();
        for (CacheHandle cache : orphans) {
            long since = orphanedSince.computeIfAbsent(cache, first -> now);
            if (now - since >= GRACE_MILLIS) {
                overdue.add(cache);
            }
        }
        return overdue;
    }
}
