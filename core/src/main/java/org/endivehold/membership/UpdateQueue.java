package org.endivehold.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivehold.misc.HostId;

/**
 * Updates that still have to be spread. Each is sent with a number of messages that grows with the logarithm of the
 * fleet; the ones sent least often go first. At most one update per daemon is kept, so the queue is bounded by the
 * members.
 */
final class UpdateQueue {
    private static final int TRANSMISSIONS_PER_DOUBLING = 3;

    private final Map<HostId, Integer> sent = new HashMap<>();

    /** Starts spreading news of a daemon, anew if it was being spread. */
    void add(HostId host) {
        sent.put(host, 0);
    }

    /**
     * Takes the updates for one message.
     *
     * @param members all members by host
     * @return at most {@link Heartbeat#MAX_UPDATES} entries
     */
    List<Member> take(Map<HostId, Member> members) {
        int limit = TRANSMISSIONS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size() + 1));
        List<HostId> next = new ArrayList<>(sent.keySet());
        next.sort(Comparator.<HostId>comparingInt(sent::get).thenComparing(Comparator.naturalOrder()));
        List<Member> updates = new ArrayList<>();
        for (HostId host : next) {
            if (updates.size() == Heartbeat.MAX_UPDATES) {
                break;
            }
            Member member = members.get(host);
            int count = sent.get(host) + 1;
            if (member == null || count >= limit) {
                sent.remove(host);
            } else {
                sent.put(host, count);
            }
            if (member != null) {
                updates.add(member);
            }
        }
        return updates;
    }
}
