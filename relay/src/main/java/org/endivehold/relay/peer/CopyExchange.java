package org.endivehold.relay.peer;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.WatchedPrefix;

/**
 * Passes on copies of the store's items between daemons.
 *
 * <p>Calls of the store are dear, and there are as many watches as daemons if each watches for itself. In a large fleet
 * only the daemons that keep the account watch ({@link DaemonDirectory}). They pass on each change at once, and say
 * again and again that their copies are current as long as the store confirms it. The others need no calls as long as
 * one of them says so. Nothing rests on who watches: a daemon that hears nothing for two words watches for itself, and
 * a change counts by its revision, whoever brings it first. Example: 60 daemons with two prefixes make 6 watch calls
 * each 2.5 s instead of 120.
 *
 * <p>A daemon that can't reach the store asks others for newer copies.
 */
public final class CopyExchange {
    /** Pause between words that a copy is current, in milliseconds; see {@link WatchedPrefix}. */
    private static final int CURRENT_MILLIS = 700;
    /** Silence of the store after which others are asked for newer copies, in milliseconds. */
    private static final int ASK_AFTER_MILLIS = 400;

    private final DaemonDirectory directory;
    private final List<WatchedPrefix> copies;
    private final PeerMesh mesh;
    private int turn;

    /**
     * Creates the exchange.
     *
     * @param directory the daemons
     * @param copies this daemon's copies
     * @param mesh connections to other daemons
     */
    public CopyExchange(DaemonDirectory directory, List<WatchedPrefix> copies, PeerMesh mesh) {
        this.directory = directory;
        this.copies = copies;
        this.mesh = mesh;
        for (WatchedPrefix copy : copies) {
            copy.onChanges((changes, after) -> changed(copy, changes, after));
        }
    }

    /** Starts to say that copies are current, while they are. */
    public void start(Vertx vertx) {
        vertx.setPeriodic(CURRENT_MILLIS, timer -> tellCurrent());
    }

    /** Asks another daemon for newer copies, a different one each time, if the store doesn't answer. */
    public void askIfBehind() {
        for (WatchedPrefix copy : copies) {
            if (copy.silentMillis() > ASK_AFTER_MILLIS) {
                mesh.ask(new PeerMessage.CopyWanted(copy.prefix(), copy.revision()), turn++);
            }
        }
    }

    /** Takes what another daemon told; returns whether it was about copies. */
    public boolean told(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.Copy theirs) {
            copy(theirs.prefix())
                    .ifPresent(mine -> mine.offer(new SharedStore.Range(theirs.items(), theirs.revision()), daemon));
        } else if (message instanceof PeerMessage.CopyCurrent theirs) {
            current(daemon, theirs);
        } else if (message instanceof PeerMessage.CopyChanged theirs) {
            copy(theirs.prefix())
                    .filter(mine -> !mine.follow(theirs.changes(), theirs.after()))
                    .ifPresent(mine -> want(daemon, mine));
        } else {
            return false;
        }
        return true;
    }

    /** Relies on a daemon that watches, but for those that watch themselves: they would wait for each other. */
    private void current(String daemon, PeerMessage.CopyCurrent theirs) {
        if (!watchesForOthers()) {
            copy(theirs.prefix())
                    .filter(mine -> !mine.vouched(theirs.revision(), theirs.changedAt(), theirs.regainedMillis()))
                    .ifPresent(mine -> want(daemon, mine));
        }
    }

    /** Returns this daemon's copy if it is newer than a revision. */
    public Optional<PeerMessage.Copy> copy(String prefix, long newerThan) {
        return copy(prefix)
                .filter(mine -> mine.revision() > newerThan)
                .map(mine -> new PeerMessage.Copy(prefix, mine.revision(), mine.items()));
    }

    private Optional<WatchedPrefix> copy(String prefix) {
        return copies.stream().filter(c -> c.prefix().equals(prefix)).findFirst();
    }

    private void want(String daemon, WatchedPrefix mine) {
        mesh.send(daemon, new PeerMessage.CopyWanted(mine.prefix(), mine.revision()));
    }

    private boolean watchesForOthers() {
        return !directory.small() && directory.keepers().contains(directory.self());
    }

    private void changed(WatchedPrefix copy, SharedStore.Changes changes, long after) {
        if (watchesForOthers()) {
            mesh.tellConnected(new PeerMessage.CopyChanged(copy.prefix(), after, changes));
        }
    }

    private void tellCurrent() {
        if (watchesForOthers()) {
            for (WatchedPrefix copy : copies) {
                if (copy.confirmed()) {
                    mesh.tellConnected(new PeerMessage.CopyCurrent(
                            copy.prefix(), copy.revision(), copy.changedAt(), copy.sinceRegainedMillis()));
                }
            }
        }
    }
}
