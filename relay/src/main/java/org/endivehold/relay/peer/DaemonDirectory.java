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
import org.endivehold.misc.RendezvousHash;

/**
 * The daemons that are known, and which of them keep the account of all engines.
 *
 * <p>In a small fleet everybody tells everybody: with n daemons that is n x (n - 1) connections, and each daemon
 * decides for itself. In a large one that would cost each daemon more than it serves, and the news would be old. There,
 * three daemons keep the account: the strongest ones, of different availability zones, in an order that everybody finds
 * by itself. All others are connected to these three only and ask the first of them that answers. Example: 60 daemons
 * have 3 x 59 connections instead of 3,540.
 *
 * <p>Nothing rests on everybody knowing the same daemons. Where two daemons ask different ones, these two hear of each
 * other's decisions a little later, and the engines refuse what is too much.
 */
public final class DaemonDirectory {
    /** Most daemons of a small fleet. */
    static final int SMALL_FLEET = 9;
    /** Daemons of a large fleet that keep the account: one that decides, and two that may take over. */
    static final int KEEPERS = 3;
    /** How long a daemon that is not heard of still counts as one that may exist, in milliseconds. */
    static final long REMEMBER_MILLIS = 30_000;
    /** Pause after which those that know little are told of all daemons again, in milliseconds: two may be lost. */
    static final long TELL_AGAIN_MILLIS = REMEMBER_MILLIS / 4;

    private final DaemonEntry self;
    private final Map<SocketAddress, Known> known = new HashMap<>();
    /** Daemons that said that they stop, with the time: what others still say of them is old. */
    private final Map<String, Long> stopped = new HashMap<>();

    private boolean changed;
    private long toldAt = Long.MIN_VALUE / 2;

    /**
     * A daemon and when it was last heard of.
     *
     * @param entry the daemon
     * @param heardAt time in milliseconds
     */
    private record Known(DaemonEntry entry, long heardAt) {}

    /** Creates a directory that knows its own daemon. */
    public DaemonDirectory(DaemonEntry self) {
        this.self = self;
    }

    /** Returns this daemon. */
    public DaemonEntry self() {
        return self;
    }

    /**
     * Notes that a daemon exists. At one address only the one that was heard of last is known: it has started again.
     *
     * @param entry the daemon
     * @param heardAt when it was heard of, by whomever, in milliseconds
     */
    public void heard(DaemonEntry entry, long heardAt) {
        if (entry.address().equals(self.address()) || stopped.containsKey(entry.name())) {
            return;
        }
        Known old = known.get(entry.address());
        if (old != null && old.heardAt() >= heardAt) {
            return;
        }
        known.put(entry.address(), new Known(entry, heardAt));
        changed |= old == null || !old.entry().equals(entry);
    }

    /** Notes that a known daemon was heard of again. */
    public void heardAgain(String name, long now) {
        known.values().stream()
                .map(Known::entry)
                .filter(entry -> entry.name().equals(name))
                .findFirst()
                .ifPresent(entry -> heard(entry, now));
    }

    /** Forgets a daemon that has stopped, for good: another start of it has another name. */
    public void stopped(String name, long now) {
        stopped.put(name, now);
        changed |= known.values().removeIf(k -> k.entry().name().equals(name));
    }

    /**
     * Tells whether the connected daemons have to be told of all daemons: something has changed, or they were not told
     * for a while. Who is connected to keepers only hears of the others in no other way, and would forget them.
     */
    public boolean tellAgain(long now) {
        boolean due = changed || now - toldAt >= TELL_AGAIN_MILLIS;
        if (due) {
            changed = false;
            toldAt = now;
        }
        return due;
    }

    /** Forgets daemons that were not heard of for long. */
    public void expire(long now) {
        known.values().removeIf(k -> now - k.heardAt() > REMEMBER_MILLIS);
        stopped.values().removeIf(at -> now - at > REMEMBER_MILLIS);
    }

    /** Returns the names of all daemons that may exist, this one among them. */
    public Collection<String> names() {
        Set<String> names = new HashSet<>();
        names.add(self.name());
        known.values().forEach(k -> names.add(k.entry().name()));
        return names;
    }

    /** Returns all daemons with the time since they were heard of, in milliseconds. */
    public Map<DaemonEntry, Long> ages(long now) {
        Map<DaemonEntry, Long> ages = new HashMap<>();
        ages.put(self, 0L);
        known.values().forEach(k -> ages.put(k.entry(), Math.max(0, now - k.heardAt())));
        return ages;
    }

    /** Tells whether everybody tells everybody and decides for itself. */
    public boolean small() {
        return known.size() + 1 <= SMALL_FLEET;
    }

    /**
     * Returns the daemons that keep the account, in the order in which they are asked; all of them in a small fleet.
     */
    public List<DaemonEntry> keepers() {
        List<DaemonEntry> all = new ArrayList<>();
        all.add(self);
        known.values().forEach(k -> all.add(k.entry()));
        all.sort(Comparator.comparingDouble(DaemonEntry::capacity)
                .reversed()
                .thenComparing(Comparator.comparingInt(DaemonDirectory::rank).reversed()));
        return small() ? all : ofDifferentZones(all);
    }

    private static int rank(DaemonEntry entry) {
        return RendezvousHash.rank(entry.name(), "account");
    }

    private static List<DaemonEntry> ofDifferentZones(List<DaemonEntry> ranked) {
        List<DaemonEntry> chosen = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        for (DaemonEntry entry : ranked) {
            if (chosen.size() < KEEPERS && zones.add(entry.zone())) {
                chosen.add(entry);
            }
        }
        for (DaemonEntry entry : ranked) {
            if (chosen.size() < KEEPERS && !chosen.contains(entry)) {
                chosen.add(entry);
            }
        }
        return chosen;
    }
}
