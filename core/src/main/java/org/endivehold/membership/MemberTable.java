package org.endivehold.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.endivehold.misc.HostId;

/**
 * What this daemon believes of all daemons, with the deadlines of suspicions and the times of deaths.
 *
 * <p>Of two entries for one daemon the newer one stands: the higher incarnation, then the higher state number (which
 * only the daemon itself raises), then the worse state. So news may arrive late, twice and in any order.
 */
final class MemberTable {
    /** Most daemons that are remembered. */
    private static final int MAX_MEMBERS = 4_096;

    private final Map<HostId, Member> members = new TreeMap<>();
    private final Map<HostId, Long> suspectedUntil = new HashMap<>();
    private final Map<HostId, Long> deadSince = new HashMap<>();

    Collection<Member> all() {
        return members.values();
    }

    Map<HostId, Member> byHost() {
        return members;
    }

    Optional<Member> find(HostId host) {
        return Optional.ofNullable(members.get(host));
    }

    /**
     * Takes an entry if it is newer than the present one.
     *
     * @param update the entry
     * @param now monotonic time in milliseconds
     * @param suspicionMillis time that a suspected daemon has to refute
     * @return the entry as it stands now if it changed
     */
    Optional<Member> merge(Member update, long now, long suspicionMillis) {
        Member old = members.get(update.host());
        if (old == null && members.size() >= MAX_MEMBERS) {
            return Optional.empty();
        }
        if (old != null && !isNewer(update, old)) {
            return mergeConfiguration(old, update);
        }
        Member next = update;
        if (old != null
                && old.incarnation().equals(update.incarnation())
                && old.revision().compareTo(update.revision()) > 0) {
            next = update.with(old.revision(), old.digest());
        }
        members.put(next.host(), next);
        note(next, now, suspicionMillis);
        return Optional.of(next);
    }

    /** Replaces the own entry. */
    void put(Member own) {
        members.put(own.host(), own);
    }

    /** Returns the daemons whose time to refute has passed. */
    List<Member> overdue(long now) {
        List<Member> overdue = new ArrayList<>();
        suspectedUntil.forEach((host, until) -> {
            if (now >= until) {
                overdue.add(members.get(host));
            }
        });
        return overdue;
    }

    /** Gives every suspected daemon more time. */
    void postpone(long millis) {
        suspectedUntil.replaceAll((host, until) -> until + millis);
    }

    /** Forgets the daemons that have been dead for long. */
    void forget(long now) {
        deadSince.entrySet().removeIf(e -> {
            boolean old = now - e.getValue() > MembershipTimings.REMEMBER_DEAD_MILLIS;
            if (old) {
                members.remove(e.getKey());
            }
            return old;
        });
    }

    private void note(Member member, long now, long suspicionMillis) {
        HostId host = member.host();
        if (member.state() == Member.State.SUSPECT) {
            suspectedUntil.putIfAbsent(host, now + suspicionMillis);
        } else {
            suspectedUntil.remove(host);
        }
        if (member.state() == Member.State.DEAD) {
            deadSince.putIfAbsent(host, now);
        } else {
            deadSince.remove(host);
        }
    }

    private Optional<Member> mergeConfiguration(Member old, Member update) {
        if (!old.incarnation().equals(update.incarnation()) || update.revision().compareTo(old.revision()) <= 0) {
            return Optional.empty();
        }
        Member next = old.with(update.revision(), update.digest());
        members.put(next.host(), next);
        return Optional.of(next);
    }

    private static boolean isNewer(Member update, Member old) {
        int incarnation = update.incarnation().compareTo(old.incarnation());
        if (incarnation != 0) {
            return incarnation > 0;
        }
        if (update.stateNumber() != old.stateNumber()) {
            return update.stateNumber() > old.stateNumber();
        }
        return update.state().compareTo(old.state()) > 0;
    }
}
