package org.endivehold.relay.peer;

import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.endivehold.misc.RendezvousHash;

/**
 * The known daemons, and which of them are coordinators that track the load of all engines.
 *
 * <p>A small fleet is a full mesh: n daemons have n x (n - 1) connections, and each daemon places its own requests. In
 * a large fleet a full mesh would take more processor time than serving requests, and the exchanged state would be
 * stale. There, three daemons are coordinators: those with the highest capacity, in different availability zones, in an
 * order that every daemon computes independently. All other daemons connect to these three only and send placement
 * requests to the first one that answers. Example: 60 daemons have 3 x 59 connections instead of 3,540.
 *
 * <p>Correctness does not require that all daemons know the same members. If two daemons use different coordinators,
 * each coordinator learns of the other's placements with a short delay, and engines refuse work beyond their capacity.
 */
public final class DaemonDirectory {
    /** Largest number of daemons that form a full mesh. */
    static final int MAX_FULL_MESH_SIZE = 9;
    /** Coordinators of a large fleet: one that places requests, and two for failover. */
    static final int COORDINATORS = 3;
    /**
     * Coordinators that watch the store for all: one of them may be lost without any other daemon calling the store.
     */
    static final int STORE_WATCHERS = 2;
    /** Time after which a daemon that was not seen is removed from the directory, in milliseconds. */
    static final long EXPIRY_MILLIS = 30_000;
    /** Interval at which the whole member list is sent to connected daemons, in milliseconds; two may be lost. */
    static final long ANNOUNCE_INTERVAL_MILLIS = EXPIRY_MILLIS / 4;

    private final DaemonEntry self;
    private final Map<SocketAddress, Known> known = new HashMap<>();
    /** Daemons that announced their shutdown, with its time: later reports of them by other daemons are stale. */
    private final Map<String, Long> stopped = new HashMap<>();

    /** Addresses of daemons that are new or have a new entry since the last announcement. */
    private final Set<SocketAddress> changed = new HashSet<>();

    /** The coordinators of the known daemons; empty if these have changed since it was computed. */
    private List<DaemonEntry> coordinators = List.of();

    private long announcedAt = Long.MIN_VALUE / 2;

    /**
     * A daemon and when it was last seen.
     *
     * @param entry the daemon
     * @param seenAt time in milliseconds
     */
    private record Known(DaemonEntry entry, long seenAt) {}

    /** Creates a directory that contains only this daemon. */
    public DaemonDirectory(DaemonEntry self) {
        this.self = self;
    }

    /** Returns the entry of this daemon. */
    public DaemonEntry self() {
        return self;
    }

    /**
     * Records that a daemon was seen. Each address has one entry, the latest: an older one belongs to an earlier start
     * of the same daemon.
     *
     * @param entry the daemon
     * @param seenAt when any daemon last saw it, in milliseconds
     */
    public void recordSeen(DaemonEntry entry, long seenAt) {
        if (entry.address().equals(self.address()) || stopped.containsKey(entry.name())) {
            return;
        }
        Known old = known.get(entry.address());
        if (old != null && old.seenAt() >= seenAt) {
            return;
        }
        known.put(entry.address(), new Known(entry, seenAt));
        if (old == null || !old.entry().equals(entry)) {
            changed.add(entry.address());
            coordinators = List.of();
        }
    }

    /** Records that a known daemon was seen at {@code now}; ignores unknown names. */
    public void refresh(String name, long now) {
        known.values().stream()
                .map(Known::entry)
                .filter(entry -> entry.name().equals(name))
                .findFirst()
                .ifPresent(entry -> recordSeen(entry, now));
    }

    /** Removes a daemon that has shut down. Its name is not reused: each start has a new one. */
    public void stopped(String name, long now) {
        stopped.put(name, now);
        removeIf(k -> k.entry().name().equals(name));
    }

    /**
     * Returns the daemons that have to be announced to the connected ones now, with the time since each was last seen,
     * in milliseconds. These are all daemons after each interval: a daemon that is connected to coordinators only
     * learns of the others from these lists, and would let them expire otherwise. In between they are those that are
     * new or have a new entry. A receiver adds what it gets to what it knows, so a daemon that stopped is not
     * announced.
     */
    public Map<DaemonEntry, Long> takeDueAnnouncements(long now) {
        Map<DaemonEntry, Long> due = ages(now);
        if (now - announcedAt >= ANNOUNCE_INTERVAL_MILLIS) {
            announcedAt = now;
        } else {
            due.keySet().removeIf(daemon -> !changed.contains(daemon.address()));
        }
        changed.clear();
        return due;
    }

    /** Removes daemons that were not seen within the expiry time. */
    public void expire(long now) {
        removeIf(k -> now - k.seenAt() > EXPIRY_MILLIS);
        stopped.values().removeIf(at -> now - at > EXPIRY_MILLIS);
    }

    private void removeIf(Predicate<Known> condition) {
        if (known.values().removeIf(condition)) {
            coordinators = List.of();
        }
    }

    /** Returns the names of all daemons that have not expired, including this one. */
    public Collection<String> names() {
        Set<String> names = new HashSet<>();
        names.add(self.name());
        known.values().forEach(k -> names.add(k.entry().name()));
        return names;
    }

    /** Returns all other daemons that have not expired. */
    public Collection<DaemonEntry> others() {
        return known.values().stream().map(Known::entry).toList();
    }

    /** Returns all daemons with the time since each was last seen, in milliseconds; 0 for this one. */
    public Map<DaemonEntry, Long> ages(long now) {
        Map<DaemonEntry, Long> ages = new HashMap<>();
        ages.put(self, 0L);
        known.values().forEach(k -> ages.put(k.entry(), Math.max(0, now - k.seenAt())));
        return ages;
    }

    /** Returns whether all daemons are connected to each other and each places its own requests. */
    public boolean usesFullMesh() {
        return known.size() + 1 <= MAX_FULL_MESH_SIZE;
    }

    /** Returns the coordinators in order of preference; all daemons in a small fleet. */
    public List<DaemonEntry> coordinators() {
        if (coordinators.isEmpty()) {
            coordinators = List.copyOf(rankedCoordinators());
        }
        return coordinators;
    }

    private List<DaemonEntry> rankedCoordinators() {
        List<DaemonEntry> all = new ArrayList<>();
        all.add(self);
        known.values().forEach(k -> all.add(k.entry()));
        all.sort(Comparator.comparingDouble(DaemonEntry::capacity)
                .reversed()
                .thenComparing(Comparator.comparingInt(DaemonDirectory::rank).reversed()));
        return usesFullMesh() ? all : spreadOverZones(all);
    }

    /**
     * Returns the coordinators that normally watch the store. The other coordinators start to watch it when these stop
     * announcing their copies.
     */
    public List<DaemonEntry> storeWatchers() {
        List<DaemonEntry> coordinators = coordinators();
        return coordinators.subList(0, Math.min(STORE_WATCHERS, coordinators.size()));
    }

    private static int rank(DaemonEntry entry) {
        // The key is hashed: all daemons must use the same one to compute the same order.
        return RendezvousHash.rank(entry.name(), "account");
    }

    private static List<DaemonEntry> spreadOverZones(List<DaemonEntry> ranked) {
        List<DaemonEntry> chosen = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        for (DaemonEntry entry : ranked) {
            if (chosen.size() < COORDINATORS && zones.add(entry.zone())) {
                chosen.add(entry);
            }
        }
        for (DaemonEntry entry : ranked) {
            if (chosen.size() < COORDINATORS && !chosen.contains(entry)) {
                chosen.add(entry);
            }
        }
        return chosen;
    }
}
