package org.endivehold.relay.peer;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StoreHeartbeat;
import org.endivehold.relay.state.StorePosition;
import org.endivehold.relay.state.WatchedPrefix;

/**
 * Distributes copies of the store's items between daemons.
 *
 * <p>Store calls are expensive, and if every daemon watched the store, the number of watches would equal the number of
 * daemons. In a large fleet only the first two coordinators watch ({@link DaemonDirectory}). They forward each change
 * at once and announce that their copies are current each time that the store answers a ping ({@link StoreHeartbeat}).
 * The other daemons make no store calls while they receive these announcements. Correctness does not depend on which
 * daemons watch: a daemon that misses two announcements starts its own watch, and changes are ordered by position,
 * regardless of the sender. If it is the third coordinator, it announces its copies as well. Example: 60 daemons with
 * two prefixes make 4 watch calls every 2.4 s instead of 120.
 *
 * <p>A change travels to another zone only for the coordinator there, which forwards it within its zone. The others
 * learn from the position in the next announcement of any coordinator that they miss it, and request a copy. So if the
 * coordinator of a zone is lost, the daemons of its zone get a change at most one interval of announcements later.
 *
 * <p>A daemon that cannot reach the store requests newer copies from other daemons.
 */
public final class CopyExchange {
    /** Duration of a store outage after which newer copies are requested from other daemons, in milliseconds. */
    private static final int COPY_REQUEST_AFTER_MILLIS = 400;
    /**
     * Time that a change gets to arrive from the coordinator of this daemon's zone after another coordinator has
     * announced it, in milliseconds; then a whole copy is requested.
     */
    private static final int MISSING_CHANGE_MILLIS = 100;

    private final Vertx vertx;

    private final DaemonDirectory directory;
    private final List<WatchedPrefix> copies;
    private final PeerMesh mesh;
    /** Position of the last change that was forwarded, by prefix. */
    private final Map<String, StorePosition> forwarded = new HashMap<>();

    private int nextPeer;

    /**
     * Creates the exchange and forwards every change that the store reports to {@code copies}.
     *
     * @param vertx runs the timers
     * @param directory the known daemons; decides whether this daemon is a coordinator
     * @param copies this daemon's copies, one for each prefix
     * @param heartbeat tells when the store has answered
     * @param mesh connections to other daemons
     */
    public CopyExchange(
            Vertx vertx,
            DaemonDirectory directory,
            List<WatchedPrefix> copies,
            StoreHeartbeat heartbeat,
            PeerMesh mesh) {
        this.vertx = vertx;
        this.directory = directory;
        this.copies = copies;
        this.mesh = mesh;
        copies.stream().skip(1).forEach(copy -> copy.tryAfter(copies.get(0)));
        heartbeat.onAnswer(this::announceCurrent);
        for (WatchedPrefix copy : copies) {
            copy.onChanges((changes, after) -> forwardChanges(copy, changes, after));
        }
    }

    /** Requests newer copies during a store outage, from a different daemon on each call. */
    public void requestNewerCopies() {
        for (WatchedPrefix copy : copies) {
            if (copy.outageMillis() > COPY_REQUEST_AFTER_MILLIS) {
                mesh.requestCopy(new PeerMessage.CopyRequest(copy.prefix(), copy.position()), nextPeer++);
            }
        }
    }

    /** Handles a message from another daemon; returns false if it does not concern copies. */
    public boolean handle(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.Copy theirs) {
            copy(theirs.prefix())
                    .ifPresent(mine ->
                            mine.replaceIfNewer(new SharedStore.Range(theirs.items(), theirs.position()), daemon));
        } else if (message instanceof PeerMessage.CopyCurrent theirs) {
            confirm(daemon, theirs);
        } else if (message instanceof PeerMessage.CopyChanged theirs) {
            copy(theirs.prefix()).ifPresent(mine -> changed(daemon, theirs, mine));
        } else if (message instanceof PeerMessage.Ping theirs) {
            storeState(theirs);
        } else {
            return false;
        }
        return true;
    }

    /** Coordinators do not rely on each other's reports: the others wait for them to find that the store is back. */
    private void storeState(PeerMessage.Ping theirs) {
        if (theirs.storeUnavailable() && !directory.usesFullMesh() && !isCoordinator()) {
            copies.forEach(WatchedPrefix::reportUnavailable);
        }
    }

    /** Returns the answer to a ping, in which a coordinator says that it gets no answers from the store. */
    public PeerMessage.Ping pingAnswer() {
        return new PeerMessage.Ping(isCoordinator() && copies.stream().anyMatch(copy -> copy.outageMillis() > 0));
    }

    private void confirm(String daemon, PeerMessage.CopyCurrent theirs) {
        if (reliesOn(daemon)) {
            copy(theirs.prefix())
                    .filter(mine ->
                            !mine.confirmByPeer(theirs.position(), theirs.changedAt(), theirs.sinceOutageMillis()))
                    .ifPresent(mine -> vertx.setTimer(MISSING_CHANGE_MILLIS, timer -> {
                        if (theirs.changedAt().isAfter(mine.position())) {
                            requestCopy(daemon, mine);
                        }
                    }));
        }
    }

    private void changed(String daemon, PeerMessage.CopyChanged theirs, WatchedPrefix mine) {
        StorePosition before = mine.position();
        if (!mine.applyFromPeer(theirs.changes(), theirs.after())) {
            requestCopy(daemon, mine);
        } else if (mine.position().isAfter(before) && isCoordinator()) {
            relay(theirs);
        }
    }

    /** Forwards the changes that another coordinator reported within the zone; that one informs the other zones. */
    private void relay(PeerMessage.CopyChanged theirs) {
        List<DaemonEntry> coordinators = directory.coordinators();
        if (isFirstReport(theirs.prefix(), theirs.changes())) {
            mesh.sendInbound(theirs, daemon -> isOwnZone(daemon) && !coordinators.contains(daemon));
        }
    }

    /** Returns whether the changes were not forwarded before: several coordinators may report the same ones. */
    private boolean isFirstReport(String prefix, SharedStore.Changes changes) {
        List<SharedStore.Change> list = changes.changes();
        StorePosition last =
                list.isEmpty() ? changes.position() : list.get(list.size() - 1).position();
        boolean first = last.isAfter(forwarded.getOrDefault(prefix, StorePosition.NONE));
        if (first) {
            forwarded.put(prefix, last);
        }
        return first;
    }

    private boolean isOwnZone(DaemonEntry daemon) {
        return daemon.zone().equals(directory.self().zone());
    }

    /** Returns this daemon's copy of a prefix if it is newer than {@code newerThan}. */
    public Optional<PeerMessage.Copy> copy(String prefix, StorePosition newerThan) {
        return copy(prefix)
                .filter(mine -> mine.position().isAfter(newerThan))
                .map(mine -> new PeerMessage.Copy(prefix, mine.position(), mine.items()));
    }

    private Optional<WatchedPrefix> copy(String prefix) {
        return copies.stream().filter(c -> c.prefix().equals(prefix)).findFirst();
    }

    private void requestCopy(String daemon, WatchedPrefix mine) {
        mesh.send(daemon, new PeerMessage.CopyRequest(mine.prefix(), mine.position()));
    }

    /**
     * Returns whether this daemon relies on the watch of another one. The first watchers rely on none and the other
     * coordinators only on these, so that no two daemons rely on each other and none of them calls the store.
     */
    private boolean reliesOn(String daemon) {
        if (!isCoordinator()) {
            return true;
        }
        List<DaemonEntry> watchers = directory.storeWatchers();
        return !watchers.contains(directory.self())
                && watchers.stream().anyMatch(watcher -> watcher.name().equals(daemon));
    }

    /** Returns whether this daemon announces its copies to others if it watches the store. */
    private boolean isCoordinator() {
        return !directory.usesFullMesh() && directory.coordinators().contains(directory.self());
    }

    private void forwardChanges(WatchedPrefix copy, SharedStore.Changes changes, StorePosition after) {
        if (isCoordinator()) {
            List<DaemonEntry> coordinators = directory.coordinators();
            Set<String> zones = coordinators.stream().map(DaemonEntry::zone).collect(Collectors.toSet());
            boolean first = isFirstReport(copy.prefix(), changes);
            mesh.sendInbound(
                    new PeerMessage.CopyChanged(copy.prefix(), after, changes),
                    daemon -> coordinators.contains(daemon)
                            || !zones.contains(daemon.zone())
                            || (first && isOwnZone(daemon)));
        }
    }

    /** Announces the copies that are current; the store has just answered this daemon. */
    private void announceCurrent() {
        if (isCoordinator()) {
            for (WatchedPrefix copy : copies) {
                if (copy.confirmed()) {
                    announceCurrent(copy);
                } else {
                    copy.confirmNow().onSuccess(confirmed -> announceCurrent(copy));
                }
            }
        }
    }

    private void announceCurrent(WatchedPrefix copy) {
        mesh.broadcastInbound(new PeerMessage.CopyCurrent(
                copy.prefix(), copy.position(), copy.changedAt(), copy.sinceOutageMillis()));
    }
}
