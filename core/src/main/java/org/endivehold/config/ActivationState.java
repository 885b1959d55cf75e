package org.endivehold.config;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;

/**
 * Decides which revision a daemon fetches, from where, and whether it comes into force.
 *
 * <p>There are two sources: the head in the key-value service, learnt by a watch and by polling, and the neighbours,
 * whose answers announce what they have in force. The highest revision announced is fetched, one fetch at a time; of
 * several sources the store is asked first, and a source that failed only after a delay. So a daemon that lost the
 * store follows any neighbour that has not, and one that lost its neighbours follows the store.
 *
 * <p>The revision in force never falls: {@link #loaded} accepts only a higher one whose digest is the announced one.
 * What a source announces is not trusted beyond that. A store that announces a lower revision than before, for example
 * after a restore from a backup, is ignored and shown as {@link #isStoreBehind}.
 *
 * <p>Example: in force 7, the store's watch is silent, a neighbour announces 9: fetch 9 from it; it dies; the fetch
 * fails; another neighbour announces 9 and is asked at the next step.
 *
 * <p>Isolation: a daemon that hears neither the store nor any neighbour for a while cannot learn of a change and has to
 * tell the balancer. An outage of the store alone isolates no daemon: then nothing can be published. A daemon that
 * knows of no neighbours at all counts only the store as lost in an outage and stays in service.
 */
public final class ActivationState {
    /** Most neighbours whose announcements are kept. */
    static final int MAX_NEIGHBOURS = 4_096;

    private final ActivationTimes times;
    private final Map<HostId, Announcement> neighbours = new TreeMap<>();
    private Optional<ConfigurationSnapshot> current = Optional.empty();
    private Optional<ConfigurationHead> head = Optional.empty();
    private Optional<FetchOrder> fetching = Optional.empty();
    private Revision storeRevision = Revision.ZERO;
    private long fetchStartedAt;
    private long storeHeardAt;
    private long storeRetryAt;
    private long pollStartedAt;
    private long neighbourHeardAt;

    /**
     * Creates the state of a daemon that has just started and counts as connected.
     *
     * @param times its times
     * @param now monotonic time in milliseconds
     */
    public ActivationState(ActivationTimes times, long now) {
        this.times = times;
        this.storeHeardAt = now;
        this.neighbourHeardAt = now;
        this.pollStartedAt = now;
    }

    private static final class Announcement {
        private Revision revision = Revision.ZERO;
        private String digest = "";
        private long retryAt;
    }

    /**
     * Takes note of the head in the key-value service.
     *
     * @param seen the head; empty if nothing was published
     * @param now monotonic time in milliseconds
     */
    public void headSeen(Optional<ConfigurationHead> seen, long now) {
        storeHeardAt = now;
        storeRevision = seen.map(ConfigurationHead::revision).orElse(Revision.ZERO);
        if (seen.isPresent() && isHigher(seen.get().revision(), head.map(ConfigurationHead::revision))) {
            head = seen;
        }
    }

    /**
     * Takes note of a message from a neighbour itself.
     *
     * @param neighbour the neighbour
     * @param revision its revision; zero if it has none
     * @param digest the digest
     * @param now monotonic time in milliseconds
     */
    public void neighbourSeen(HostId neighbour, Revision revision, String digest, long now) {
        neighbourHeardAt = now;
        announced(neighbour, revision, digest);
    }

    /**
     * Takes note that a neighbour exists; no sign that it can be reached.
     *
     * @param neighbour the neighbour
     */
    public void neighbourKnown(HostId neighbour) {
        if (neighbours.size() < MAX_NEIGHBOURS) {
            neighbours.computeIfAbsent(neighbour, host -> new Announcement());
        }
    }

    private void announced(HostId neighbour, Revision revision, String digest) {
        neighbourKnown(neighbour);
        Announcement announcement = neighbours.get(neighbour);
        if (announcement != null && revision.compareTo(announcement.revision) > 0) {
            announcement.revision = revision;
            announcement.digest = digest;
        }
    }

    /**
     * Forgets a neighbour that left.
     *
     * @param neighbour the neighbour
     */
    public void neighbourGone(HostId neighbour) {
        neighbours.remove(neighbour);
    }

    /**
     * Forgets neighbours that are not known any more, but only while some neighbour is heard: a daemon that is cut off
     * believes all others dead, and has to go on counting as cut off.
     *
     * @param known the neighbours that are known
     * @param now monotonic time in milliseconds
     */
    public void retainNeighbours(Set<HostId> known, long now) {
        if (now - neighbourHeardAt <= times.isolationMillis()) {
            neighbours.keySet().retainAll(known);
        }
    }

    /**
     * Decides whether to start a fetch.
     *
     * @param now monotonic time in milliseconds
     * @return what to fetch; empty if nothing higher is known, a fetch is under way, or all sources have to rest
     */
    public Optional<FetchOrder> next(long now) {
        if (fetching.isPresent() && now - fetchStartedAt >= times.fetchMillis()) {
            failed(fetching.get(), now);
        }
        if (fetching.isPresent()) {
            return Optional.empty();
        }
        fetching = choose(now);
        fetchStartedAt = now;
        return fetching;
    }

    private Optional<FetchOrder> choose(long now) {
        Optional<Revision> inForce = current.map(ConfigurationSnapshot::revision);
        Optional<FetchOrder> best = head.filter(seen -> isHigher(seen.revision(), inForce))
                .filter(seen -> now >= storeRetryAt)
                .map(FetchOrder::fromStore);
        Optional<Map.Entry<HostId, Announcement>> neighbour = neighbours.entrySet().stream()
                .filter(entry -> isHigher(entry.getValue().revision, inForce))
                .filter(entry -> now >= entry.getValue().retryAt)
                .max(Comparator.comparing(entry -> entry.getValue().revision));
        if (neighbour.isEmpty()) {
            return best;
        }
        Announcement announced = neighbour.get().getValue();
        return isHigher(announced.revision, best.map(FetchOrder::revision))
                ? Optional.of(FetchOrder.fromNeighbour(neighbour.get().getKey(), announced.revision, announced.digest))
                : best;
    }

    /**
     * Takes note that a fetch failed; its source rests for a while.
     *
     * @param order the fetch
     * @param now monotonic time in milliseconds
     */
    public void failed(FetchOrder order, long now) {
        if (order.neighbour().isPresent()) {
            Announcement announcement = neighbours.get(order.neighbour().get());
            if (announcement != null) {
                announcement.retryAt = now + times.retryMillis();
            }
        } else {
            storeRetryAt = now + times.retryMillis();
        }
        fetching = fetching.filter(running -> !running.equals(order));
    }

    /**
     * Decides whether what a fetch brought comes into force; the caller has checked that the digest fits the content.
     *
     * @param order the fetch
     * @param revision the revision that came
     * @param digest digest of the content
     * @param configuration the content
     * @param now monotonic time in milliseconds
     * @return the snapshot now in force; empty if it was refused
     */
    public Optional<ConfigurationSnapshot> loaded(
            FetchOrder order, Revision revision, String digest, Configuration configuration, long now) {
        boolean asAnnounced = revision.compareTo(order.revision()) > 0
                || (revision.equals(order.revision()) && digest.equals(order.digest()));
        if (!asAnnounced) {
            failed(order, now);
            return Optional.empty();
        }
        fetching = fetching.filter(running -> !running.equals(order));
        if (!isHigher(revision, current.map(ConfigurationSnapshot::revision))) {
            return Optional.empty();
        }
        current = Optional.of(new ConfigurationSnapshot(revision, digest, configuration));
        return current;
    }

    /**
     * Returns what is in force.
     *
     * @return the snapshot, or empty before the first
     */
    public Optional<ConfigurationSnapshot> current() {
        return current;
    }

    /**
     * Decides whether to read the head now, and takes note that the read starts.
     *
     * @param now monotonic time in milliseconds
     * @return true if the last contact with the store is too old
     */
    public boolean startPoll(long now) {
        boolean lone = neighbours.isEmpty() || now - neighbourHeardAt >= times.lonePollMillis();
        long interval = lone ? times.lonePollMillis() : times.pollMillis();
        if (now - Math.max(storeHeardAt, pollStartedAt) < interval) {
            return false;
        }
        pollStartedAt = now;
        return true;
    }

    /**
     * Tells whether the daemon can learn of no change.
     *
     * @param now monotonic time in milliseconds
     * @return true if neither the store nor any of the known neighbours was heard for a while
     */
    public boolean isIsolated(long now) {
        return !neighbours.isEmpty()
                && now - storeHeardAt > times.isolationMillis()
                && now - neighbourHeardAt > times.isolationMillis();
    }

    /**
     * Tells whether the store, when it was last read, showed a lower revision than the one in force.
     *
     * @return true if it was reset or restored, or has not been read since a neighbour brought a revision
     */
    public boolean isStoreBehind() {
        return current.isPresent() && storeRevision.compareTo(current.get().revision()) < 0;
    }

    /**
     * Returns how long the store has been silent.
     *
     * @param now monotonic time in milliseconds
     * @return milliseconds since the last answer
     */
    public long storeSilentMillis(long now) {
        return now - storeHeardAt;
    }

    private static boolean isHigher(Revision revision, Optional<Revision> other) {
        return revision.compareTo(other.orElse(Revision.ZERO)) > 0;
    }
}
