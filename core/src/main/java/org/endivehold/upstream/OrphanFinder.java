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
 * Finds exported caches on engines whose owner has ended, so that no engine loses memory for good.
 *
 * <p>Streams are left alone: they end by themselves, and a caller may read them on through another daemon. A cache is
 * of use to its owner only. The grace begins when the owner is first seen to have ended: a daemon whose entry lapsed
 * though it lives registers again within it.
 */
public final class OrphanFinder {
    /** Time that a cache is left alone after its owner was first missing, in milliseconds: more than a lease. */
    static final long GRACE_MILLIS = 15_000;

    private final Map<CacheHandle, Long> missingSince = new HashMap<>();

    /**
     * Finds what to free.
     *
     * @param upstream the engine
     * @param load its report
     * @param ended tells whether an owner's process has ended
     * @param now monotonic time in milliseconds
     * @return caches to release
     */
    public List<CacheHandle> find(UpstreamName upstream, EngineLoad load, Predicate<StreamOwner> ended, long now) {
        Set<CacheHandle> orphans = new HashSet<>();
        for (EngineLoad.HeldCache cache : load.caches()) {
            if (ended.test(cache.owner())) {
                orphans.add(new CacheHandle(upstream, cache.id(), cache.tokens()));
            }
        }
        missingSince.keySet().removeIf(cache -> cache.upstream().equals(upstream) && !orphans.contains(cache));
        List<CacheHandle> overdue = new ArrayList<>();
        for (CacheHandle cache : orphans) {
            long since = missingSince.computeIfAbsent(cache, first -> now);
            if (now - since >= GRACE_MILLIS) {
                overdue.add(cache);
            }
        }
        return overdue;
    }
}
