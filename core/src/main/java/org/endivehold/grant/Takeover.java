package org.endivehold.grant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;

/**
 * Whom a new grantor has to hear of before it may count on everything that it was not told of being free.
 *
 * <p>These are all hosts that the platform's list showed since the takeover began, all that were asked, and all that an
 * old grantor named. Each has to answer, or to be missing from the list for as long as a grant can last. The list lags,
 * so an old grantor may have served daemons that it does not show yet: either the grantor of the epoch just before
 * answers, itself complete, and names them; or the time of every grant that it can have sent before it ended has
 * passed. An old grantor that lives and does not answer is on the list, so it holds the takeover open.
 *
 * <p>Being cut off from a listed daemon therefore costs the capacity that it may hold, for as long as it is listed, and
 * never safety.
 */
final class Takeover {
    private final Epoch epoch;
    private final long startedAt;
    private final GrantTimings timings;
    private final Set<HostId> expected = new TreeSet<>();
    private final Set<HostId> answered = new HashSet<>();
    private final Map<HostId, Long> missingSince = new HashMap<>();
    private Set<HostId> listed = Set.of();
    private boolean listRead;
    private boolean predecessorStated;
    private boolean complete;

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

    /** A host has stated what it holds, and refuses earlier epochs from now on. */
    void answered(HostId host) {
        expected.add(host);
        answered.add(host);
    }

    /** An earlier grantor has stopped and stated whom it served. */
    void predecessor(GrantorStatement statement) {
        expected.addAll(statement.served());
        predecessorStated |= statement.complete() && statement.epoch().next().equals(epoch);
    }

    List<HostId> unanswered() {
        List<HostId> left = new ArrayList<>(expected);
        left.removeAll(answered);
        return left;
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
            complete = settled && (predecessorStated || now - startedAt >= timings.expiryMillis());
        }
        return complete;
    }
}
