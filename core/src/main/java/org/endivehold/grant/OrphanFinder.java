package org.endivehold.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.EngineOrder;
import org.endivehold.upstream.StreamOwner;

/**
 * Finds streams and exported caches on an engine that belong to no living daemon, so that no engine loses memory for
 * good.
 *
 * <p>A stream is an orphan if its owner's process has ended and no other daemon has said that it reads the stream on
 * for a caller, or if its owner has itself said that it has done with it. The grace begins when the condition is first
 * seen and gives a caller whose daemon has died the time to come back through another one.
 */
final class OrphanFinder {
    /** Time that an orphan is left alone, in milliseconds. */
    static final long GRACE_MILLIS = 30_000;

    /** Time that an orphaned cache is left alone, in milliseconds; no caller can come back for one. */
    static final long CACHE_GRACE_MILLIS = 2_000;

    private final Map<String, Long> seenSince = new HashMap<>();
    private final Map<HostId, Map<UpstreamName, HolderStatement>> said = new HashMap<>();

    /** Takes what a holder says of its streams. */
    void state(HostId host, List<HolderStatement> statements) {
        Map<UpstreamName, HolderStatement> latest = new HashMap<>();
        statements.forEach(statement -> latest.put(statement.upstream(), statement));
        said.put(host, latest);
    }

    /**
     * Finds what to free.
     *
     * @param upstream the engine
     * @param load its report
     * @param ended tells whether an owner's process has ended
     * @param epoch the grantor's epoch
     * @param now monotonic time in milliseconds
     * @return orders that free memory
     */
    List<EngineOrder> find(
            UpstreamName upstream, EngineLoad load, Predicate<StreamOwner> ended, Epoch epoch, long now) {
        Set<StreamId> live = streams(upstream, true);
        Set<StreamId> done = streams(upstream, false);
        Set<String> orphans = new HashSet<>();
        List<EngineOrder> orders = new ArrayList<>();
        for (EngineLoad.RunningStream stream : load.streams()) {
            boolean owned = live.contains(stream.stream()) || !ended.test(stream.owner());
            String key = upstream + "/stream/" + stream.stream();
            if ((!owned || done.contains(stream.stream())) && isOverdue(key, GRACE_MILLIS, orphans, now)) {
                orders.add(new EngineOrder.CancelStream(epoch, stream.stream()));
            }
        }
        for (EngineLoad.HeldCache cache : load.caches()) {
            String key = upstream + "/cache/" + cache.id();
            if (ended.test(cache.owner()) && isOverdue(key, CACHE_GRACE_MILLIS, orphans, now)) {
                orders.add(new EngineOrder.ReleaseCache(epoch, cache.id()));
            }
        }
        seenSince.keySet().removeIf(key -> key.startsWith(upstream + "/") && !orphans.contains(key));
        return orders;
    }

    private boolean isOverdue(String key, long grace, Set<String> orphans, long now) {
        orphans.add(key);
        return now - seenSince.computeIfAbsent(key, k -> now) >= grace;
    }

    private Set<StreamId> streams(UpstreamName upstream, boolean live) {
        Set<StreamId> found = new HashSet<>();
        for (Map<UpstreamName, HolderStatement> latest : said.values()) {
            HolderStatement statement = latest.get(upstream);
            if (statement != null) {
                found.addAll(live ? statement.streams() : statement.ended());
            }
        }
        return found;
    }
}
