package org.endivehold.grant;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.upstream.StreamOwner;

/**
 * Whom a new grantor has to hear of before it may count on everything that it was not told of being free.
 *
 * <p>These are all hosts that the platform's list showed since the takeover began, all that were asked, and all that an
 * old grantor named. Each has to answer, or to be missing from the list for as long as a grant can last. The list lags,
 * so an old grantor may have served daemons that it does not show yet: either the grantor of the epoch just before
 * answers, itself complete, and names them; or the time of every grant that it can have sent before it ended has
 * passed. The record of the group names the old grantor, so it is expected even where the list does not show it yet,
 * and holds the takeover open while it lives and does not answer. It may renew until then, also for daemons that are
 * not listed; so the time counts from when the last expected daemon settled, not from the start of the takeover.
 *
 * <p>Answers count for processes. A daemon that has answered can be replaced by a new process on its host, which knows
 * nothing of this epoch and may take shares from the old grantor. The old grantor's statement names the processes that
 * it served, and a host counts as heard of only if the process named, or a later one, has answered.
 *
 * <p>Example: daemon C, process 1, answers the new grantor and is restarted; process 2 gets a share that another daemon
 * handed back to the old grantor. When the old grantor states that it served process 2, the takeover waits for its
 * answer, which states that share.
 *
 * <p>Being cut off from a listed daemon therefore costs the capacity that it may hold, for as long as it is listed, and
 * never safety.
 */
final class Takeover {
    private final Epoch epoch;
    private final long startedAt;
    private final GrantTimings timings;
    private final Set<HostId> expected = new TreeSet<>();
    private final Map<HostId, Incarnation> answered = new HashMap<>();
    private final Map<HostId, Incarnation> served = new HashMap<>();
    private final Map<HostId, Long> missingSince = new HashMap<>();
    private Set<HostId> listed = Set.of();
    private boolean listRead;
    private boolean predecessorStated;
    private boolean complete;
    private long settledAt;

    /**
     * Starts a takeover.
     *
     * @param epoch the new epoch
     * @param first whether no grantor can have been there before
     * @param timings times
     * @param now monotonic time in milliseconds
     */
    Takeover(Epoch epoch, boolean first, GrantTimings timings, long now) {
        this.epoch = epoch;
        this.startedAt = now;
        this.settledAt = now;
        this.timings = timings;
        this.complete = first;
    }

    /** Takes a reading of the host list that was asked for at a time. */
    void list(Collection<HostId> hosts, long readAt) {
        if (readAt < startedAt) {
            return;
        }
        listRead = true;
        listed = Set.copyOf(hosts);
        expected.addAll(hosts);
        missingSince.keySet().removeAll(listed);
        for (HostId host : expected) {
            if (!listed.contains(host)) {
                missingSince.putIfAbsent(host, readAt);
            }
        }
    }

    /** Names hosts that have to be heard of. */
    void expect(Collection<HostId> hosts) {
        expected.addAll(hosts);
    }

    /** A process has stated what it holds, and refuses earlier epochs from now on. */
    void answered(StreamOwner process, long now) {
        expected.add(process.host());
        Incarnation before = answered.get(process.host());
        if (before == null || before.compareTo(process.incarnation()) < 0) {
            answered.put(process.host(), process.incarnation());
            settledAt = Math.max(settledAt, now);
        }
    }

    /** An earlier grantor has stopped and stated whom it served. */
    void predecessor(GrantorStatement statement) {
        expected.addAll(statement.served());
        for (StreamOwner process : statement.processes()) {
            expected.add(process.host());
            served.merge(process.host(), process.incarnation(), (a, b) -> a.compareTo(b) < 0 ? b : a);
        }
        predecessorStated |= statement.complete() && statement.epoch().next().equals(epoch);
    }

    List<HostId> unanswered() {
        return expected.stream().filter(host -> !hasAnswered(host)).toList();
    }

    private boolean hasAnswered(HostId host) {
        Incarnation newest = answered.get(host);
        Incarnation named = served.getOrDefault(host, Incarnation.ZERO);
        return newest != null && newest.compareTo(named) >= 0;
    }

    Collection<HostId> expected() {
        return expected;
    }

    boolean isListed(HostId host) {
        return listed.contains(host);
    }

    /** Returns whether a host is missing from the list for as long as a grant can last. */
    boolean isDropped(HostId host, long now) {
        if (!listRead || listed.contains(host)) {
            return false;
        }
        return now - missingSince.computeIfAbsent(host, h -> now) >= timings.expiryMillis();
    }

    boolean isComplete(long now) {
        if (!complete && listRead) {
            boolean settled = unanswered().stream().allMatch(host -> isDropped(host, now));
            complete = settled && (predecessorStated || now - settledAt >= timings.expiryMillis());
        }
        return complete;
    }
}
