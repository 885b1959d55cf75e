package org.endivehold.config;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;

/**
 * State machine that decides which configuration revision a daemon fetches, from which source, and whether to activate
 * it. Performs no I/O and is not thread-safe.
 *
 * <p>There are two kinds of sources: the head in the key-value service (the store), observed by a watch and by polling,
 * and the neighbours (peer daemons), whose answers announce the revision that they have in force. The highest announced
 * revision is fetched, one fetch at a time. If several sources announce it, the store is asked first; a source that
 * failed is asked again only after a delay. So a daemon that cannot reach the store follows any neighbour that can, and
 * one that cannot reach its neighbours follows the store.
 *
 * <p>The revision in force never decreases: {@link #fetchCompleted} accepts only a higher revision, and verifies that
 * its digest is the announced one. Announcements are not trusted beyond that. A store that announces a lower revision
 * than before, for example after a restore from a backup, is ignored and reported by {@link #isStoreBehind}.
 *
 * <p>Example: revision 7 is in force, the store's watch delivers nothing, and a neighbour announces 9. Revision 9 is
 * fetched from it. If that daemon crashes, the fetch fails, and another neighbour that announces 9 is asked at the next
 * step.
 *
 * <p>Isolation: a daemon that receives nothing from the store or from any neighbour for a while cannot learn of a
 * change and has to be taken out of service by the load balancer. An outage of the store alone isolates no daemon,
 * since nothing can be published during it. A daemon without known neighbours therefore treats missing answers of the
 * store as such an outage and stays in service.
 */
public final class ActivationState {
    /** Maximum number of neighbours whose announcements are kept; further ones are ignored. */
    static final int MAX_NEIGHBOURS = 4_096;

    private final ActivationTimes times;
    private final Map<HostId, Announcement> neighbours = new TreeMap<>();
    private Optional<ConfigurationSnapshot> current = Optional.empty();
    private Optional<RevisionRecord> head = Optional.empty();
    private Optional<FetchTarget> fetching = Optional.empty();
    private Revision storeRevision = Revision.ZERO;
    private long fetchStartedAt;
    private long lastStoreContactAt;
    private long storeRetryAt;
    private long pollStartedAt;
    private long lastNeighbourContactAt;

    /**
     * Creates the state of a daemon that has just started. This time counts as the time of the last contact with the
     * store and the neighbours.
     *
     * @param times intervals and time-outs
     * @param now monotonic time in milliseconds
     */
    public ActivationState(ActivationTimes times, long now) {
        this.times = times;
        this.lastStoreContactAt = now;
        this.lastNeighbourContactAt = now;
        this.pollStartedAt = now;
    }

    private static final class Announcement {
        private Revision revision = Revision.ZERO;
        private String digest = "";
        private long retryAt;
    }

    /**
     * Records the head that the key-value service returned or announced.
     *
     * @param seen the head; empty if nothing was ever published
     * @param now monotonic time in milliseconds
     */
    public void headSeen(Optional<RevisionRecord> seen, long now) {
        lastStoreContactAt = now;
        storeRevision = seen.map(RevisionRecord::revision).orElse(Revision.ZERO);
        if (seen.isPresent() && isHigher(seen.get().revision(), head.map(RevisionRecord::revision))) {
            head = seen;
        }
    }

    /**
     * Records a message that was received from a neighbour, with the revision that it has in force.
     *
     * @param neighbour the neighbour
     * @param revision its revision; zero if it has none
     * @param digest digest of that revision
     * @param now monotonic time in milliseconds
     */
    public void neighbourSeen(HostId neighbour, Revision revision, String digest, long now) {
        lastNeighbourContactAt = now;
        recordAnnouncement(neighbour, revision, digest);
    }

    /**
     * Adds a neighbour of which nothing was received yet. Does not count as contact with it.
     *
     * @param neighbour the neighbour
     */
    public void addNeighbour(HostId neighbour) {
        if (neighbours.size() < MAX_NEIGHBOURS) {
            neighbours.computeIfAbsent(neighbour, host -> new Announcement());
        }
    }

    private void recordAnnouncement(HostId neighbour, Revision revision, String digest) {
        addNeighbour(neighbour);
        Announcement announcement = neighbours.get(neighbour);
        if (announcement != null && revision.compareTo(announcement.revision) > 0) {
            announcement.revision = revision;
            announcement.digest = digest;
        }
    }

    /**
     * Removes a neighbour that left.
     *
     * @param neighbour the neighbour
     */
    public void removeNeighbour(HostId neighbour) {
        neighbours.remove(neighbour);
    }

    /**
     * Removes neighbours that are no longer registered, but only while messages from some neighbour arrive. To a daemon
     * in a network partition, all others appear to be unregistered, and without any neighbour it would no longer count
     * as isolated.
     *
     * @param known the neighbours that are still registered
     * @param now monotonic time in milliseconds
     */
    public void retainNeighbours(Set<HostId> known, long now) {
        if (now - lastNeighbourContactAt <= times.isolationMillis()) {
            neighbours.keySet().retainAll(known);
        }
    }

    /**
     * Decides whether to start a fetch.
     *
     * @param now monotonic time in milliseconds
     * @return what to fetch; empty if no higher revision is known, a fetch is in progress, or all sources wait for a
     *     retry
     */
    public Optional<FetchTarget> nextFetch(long now) {
        if (fetching.isPresent() && now - fetchStartedAt >= times.fetchMillis()) {
            fetchFailed(fetching.get(), now);
        }
        if (fetching.isPresent()) {
            return Optional.empty();
        }
        fetching = chooseSource(now);
        fetchStartedAt = now;
        return fetching;
    }

    private Optional<FetchTarget> chooseSource(long now) {
        Optional<Revision> inForce = current.map(ConfigurationSnapshot::revision);
        Optional<FetchTarget> best = head.filter(seen -> isHigher(seen.revision(), inForce))
                .filter(seen -> now >= storeRetryAt)
                .map(FetchTarget::fromStore);
        Optional<Map.Entry<HostId, Announcement>> neighbour = neighbours.entrySet().stream()
                .filter(entry -> isHigher(entry.getValue().revision, inForce))
                .filter(entry -> now >= entry.getValue().retryAt)
                .max(Comparator.comparing(entry -> entry.getValue().revision));
        if (neighbour.isEmpty()) {
            return best;
        }
        Announcement announced = neighbour.get().getValue();
        return isHigher(announced.revision, best.map(FetchTarget::revision))
                ? Optional.of(FetchTarget.fromNeighbour(neighbour.get().getKey(), announced.revision, announced.digest))
                : best;
    }

    /**
     * Records that a fetch failed; its source is not asked again before the retry delay has passed.
     *
     * @param target the target of the fetch
     * @param now monotonic time in milliseconds
     */
    public void fetchFailed(FetchTarget target, long now) {
        if (target.neighbour().isPresent()) {
            Announcement announcement = neighbours.get(target.neighbour().get());
            if (announcement != null) {
                announcement.retryAt = now + times.retryMillis();
            }
        } else {
            storeRetryAt = now + times.retryMillis();
        }
        fetching = fetching.filter(inProgress -> !inProgress.equals(target));
    }

    /**
     * Records the result of a fetch and decides whether to activate it. The caller has verified that the digest matches
     * the content. Any revision above the announced one is accepted as well, since a source may have activated a later
     * one since its announcement.
     *
     * @param target the target of the fetch
     * @param revision the revision that was received
     * @param digest digest of the content
     * @param configuration the content
     * @param now monotonic time in milliseconds
     * @return the snapshot now in force; empty if the result was rejected or is not above the revision in force
     */
    public Optional<ConfigurationSnapshot> fetchCompleted(
            FetchTarget target, Revision revision, String digest, Configuration configuration, long now) {
        boolean asAnnounced = revision.compareTo(target.revision()) > 0
                || (revision.equals(target.revision()) && digest.equals(target.digest()));
        if (!asAnnounced) {
            fetchFailed(target, now);
            return Optional.empty();
        }
        fetching = fetching.filter(inProgress -> !inProgress.equals(target));
        if (!isHigher(revision, current.map(ConfigurationSnapshot::revision))) {
            return Optional.empty();
        }
        current = Optional.of(new ConfigurationSnapshot(revision, digest, configuration));
        return current;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the snapshot, or empty before the first activation
     */
    public Optional<ConfigurationSnapshot> current() {
        return current;
    }

    /**
     * Decides whether to poll the head now, and if so records the start of the poll.
     *
     * @param now monotonic time in milliseconds
     * @return true if the last contact with the store and the last poll are older than the poll interval
     */
    public boolean startPoll(long now) {
        boolean noNeighbourContact =
                neighbours.isEmpty() || now - lastNeighbourContactAt >= times.pollWithoutNeighboursMillis();
        long interval = noNeighbourContact ? times.pollWithoutNeighboursMillis() : times.pollMillis();
        if (now - Math.max(lastStoreContactAt, pollStartedAt) < interval) {
            return false;
        }
        pollStartedAt = now;
        return true;
    }

    /**
     * Returns whether the daemon has no source from which it could learn of a change.
     *
     * @param now monotonic time in milliseconds
     * @return true if there are neighbours, but there was no contact with them or the store for the isolation time
     */
    public boolean isIsolated(long now) {
        return !neighbours.isEmpty()
                && now - lastStoreContactAt > times.isolationMillis()
                && now - lastNeighbourContactAt > times.isolationMillis();
    }

    /**
     * Returns whether the store's last known head is below the revision in force.
     *
     * @return true if the store was reset or restored, or has not been read since a neighbour delivered a revision
     */
    public boolean isStoreBehind() {
        return current.isPresent() && storeRevision.compareTo(current.get().revision()) < 0;
    }

    /**
     * Returns the time since the last contact with the store.
     *
     * @param now monotonic time in milliseconds
     * @return milliseconds since the last answer or watch event
     */
    public long storeSilentMillis(long now) {
        return now - lastStoreContactAt;
    }

    private static boolean isHigher(Revision revision, Optional<Revision> other) {
        return revision.compareTo(other.orElse(Revision.ZERO)) > 0;
    }
}
