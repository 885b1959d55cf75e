package org.endivehold.grant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.StreamOwner;

/**
 * The grants that one daemon holds, and what it uses of them. A state machine without clock or sockets.
 *
 * <p>A grant's time runs from when the daemon sent the request that the grant answers, so it ends here before its
 * grantor counts it as ended, however long the answer took. After its time only the residual slots may be used, which
 * the upstream bears even cold. Streams in flight keep what they use.
 *
 * <p>A daemon that was paused longer than a bound does not trust what it held: the platform may have dropped it from
 * its list and its shares may have been divided again. It uses nothing until a request that it sent after the pause has
 * been answered.
 */
public final class GrantHolder {
    private static final int MAX_STREAMS_STATED = 4_096;

    private final StreamOwner self;
    private final GrantGroups groups;
    private final long pauseMillis;
    private final Map<Integer, Epoch> fenced = new HashMap<>();
    private final Map<UpstreamName, HeldGrant> grants = new TreeMap<>();
    private final Map<UpstreamName, Amount> demands = new HashMap<>();
    private final Map<UpstreamName, OwnedStreams> streams = new HashMap<>();
    private final Map<Reservation, Boolean> reservations = new HashMap<>();
    private final Set<Long> pendingReservations = new TreeSet<>();
    private final PermitBook permits = new PermitBook();
    private Set<UpstreamName> wanted = Set.of();
    private long lastTick = Long.MIN_VALUE;
    private long pausedUntil = Long.MIN_VALUE;
    private long number;

    /**
     * Creates the grants of one daemon, at first none.
     *
     * @param self the daemon
     * @param groups the groups
     * @param pauseMillis longest pause after which grants are used without revalidation, in milliseconds
     */
    public GrantHolder(StreamOwner self, GrantGroups groups, long pauseMillis) {
        this.self = self;
        this.groups = groups;
        this.pauseMillis = pauseMillis;
    }

    /**
     * Sets the upstreams that this daemon wants shares of.
     *
     * @param upstreams the upstreams that may get new work
     */
    public void want(Collection<UpstreamName> upstreams) {
        wanted = Set.copyOf(upstreams);
        demands.keySet().retainAll(wanted);
    }

    /**
     * Lets time pass; to be called often enough that a gap of the pause bound means a pause. Every use calls it too.
     *
     * @param now monotonic time in milliseconds
     */
    public void tick(long now) {
        if (lastTick != Long.MIN_VALUE && now - lastTick > pauseMillis) {
            pausedUntil = now;
        }
        lastTick = Math.max(lastTick, now);
    }

    /**
     * Refuses all epochs below one from now on.
     *
     * @param group the group
     * @param epoch the epoch
     * @return false if a higher epoch is known already
     */
    public boolean fence(int group, Epoch epoch) {
        if (epoch.compareTo(epoch(group)) < 0) {
            return false;
        }
        fenced.put(group, epoch);
        return true;
    }

    /**
     * Returns the highest epoch known of a group.
     *
     * @param group the group
     * @return the epoch; zero if none is known
     */
    public Epoch epoch(int group) {
        return fenced.getOrDefault(group, Epoch.ZERO);
    }

    /**
     * States what this daemon holds of a group.
     *
     * @param group the group
     * @param now monotonic time in milliseconds
     * @return a statement with the next number
     */
    public GroupStatement state(int group, long now) {
        tick(now);
        Set<UpstreamName> named = new TreeSet<>(wanted);
        named.addAll(grants.keySet());
        List<HolderStatement> parts = new ArrayList<>();
        for (UpstreamName upstream : named) {
            if (groups.of(upstream) == group) {
                parts.add(part(upstream, now));
            }
        }
        List<Reservation> held =
                reservations.keySet().stream().filter(r -> r.group() == group).toList();
        return new GroupStatement(group, epoch(group), self, ++number, parts, held, List.copyOf(pendingReservations));
    }

    /**
     * Takes a grant that answers a request of this daemon.
     *
     * @param grant the grant
     * @param sentAt monotonic time at which the request was sent, in milliseconds
     * @return false if the grant is refused, being of another epoch or older than the one in force
     */
    public boolean accept(Grant grant, long sentAt) {
        HeldGrant old = grants.get(grant.upstream());
        if (!grant.epoch().equals(epoch(grant.group())) || (old != null && !old.isOlderThan(grant))) {
            return false;
        }
        HeldGrant next = new HeldGrant(grant, sentAt + grant.ttlMillis(), sentAt);
        if (old != null && sentAt < old.suspectedAt()) {
            next.suspect(old.suspectedAt());
        }
        grants.put(grant.upstream(), next);
        return true;
    }

    /**
     * Takes a grant that changes the one in force, and keeps its end.
     *
     * @param grant the grant
     * @return false if the grant is refused, or there is none to change
     */
    public boolean change(Grant grant) {
        HeldGrant old = grants.get(grant.upstream());
        if (old == null
                || !old.grant().epoch().equals(grant.epoch())
                || !grant.epoch().equals(epoch(grant.group()))
                || !old.isOlderThan(grant)) {
            return false;
        }
        HeldGrant next = new HeldGrant(grant, old.expiresAt(), old.sentAt());
        next.suspect(old.suspectedAt());
        grants.put(grant.upstream(), next);
        return true;
    }

    /**
     * Gives up everything that is not in use; the next statements hand it back.
     *
     * @param now monotonic time in milliseconds
     */
    public void handBack(long now) {
        wanted = Set.of();
        demands.clear();
        grants.values().forEach(HeldGrant::giveUp);
    }

    /**
     * Returns what may be used of an upstream now, used or not.
     *
     * @param upstream the upstream
     * @param now monotonic time in milliseconds
     * @return the pooled share
     */
    public Amount usable(UpstreamName upstream, long now) {
        HeldGrant held = grants.get(upstream);
        return held == null || held.sentAt() < pausedUntil ? Amount.ZERO : held.usable(now);
    }

    /**
     * Returns the prompt tokens that wait at an upstream by its grantor's last report.
     *
     * @param upstream the upstream
     * @return tokens
     */
    public long waitingPrefillTokens(UpstreamName upstream) {
        HeldGrant held = grants.get(upstream);
        return held == null ? 0 : held.grant().waitingPrefillTokens();
    }

    /**
     * Returns the least age of the report behind {@link #waitingPrefillTokens}.
     *
     * @param upstream the upstream
     * @param now monotonic time in milliseconds
     * @return milliseconds since the request was sent that brought the grant
     */
    public long reportAgeMillis(UpstreamName upstream, long now) {
        HeldGrant held = grants.get(upstream);
        return held == null ? 0 : Math.max(0, now - held.sentAt());
    }

    /**
     * Returns what is in use of the pooled share.
     *
     * @param upstream the upstream
     * @return the sum of the pooled permits
     */
    public Amount used(UpstreamName upstream) {
        return permits.pooled(upstream);
    }

    /**
     * Returns what is in use of reservations.
     *
     * @param upstream the upstream
     * @return the sum of the reserved permits
     */
    public Amount reserved(UpstreamName upstream) {
        return permits.reserved(upstream);
    }

    /**
     * Takes a pooled permit.
     *
     * @param upstream the upstream
     * @param memoryTokens KV memory in tokens
     * @param now monotonic time in milliseconds
     * @return the permit, or empty if the share does not suffice
     */
    public Optional<Permit> acquire(UpstreamName upstream, long memoryTokens, long now) {
        tick(now);
        Amount after = used(upstream).plus(new Amount(1, memoryTokens));
        if (!wanted.contains(upstream) || !usable(upstream, now).covers(after)) {
            return Optional.empty();
        }
        return Optional.of(permits.open(upstream, memoryTokens, false));
    }

    /**
     * Gives a permit back.
     *
     * @param permit the permit
     */
    public void release(Permit permit) {
        permits.close(permit);
    }

    /**
     * Numbers a reservation request; its outcome has to be told by {@link #reservationEnded}.
     *
     * @return the number
     */
    public long reservationStarted() {
        number++;
        pendingReservations.add(number);
        return number;
    }

    /**
     * Takes the outcome of a reservation request.
     *
     * @param request its number
     * @param made the reservations; empty if it failed or its answer came too late
     * @return those that may be used, the others having been made in an older epoch
     */
    public List<Reservation> reservationEnded(long request, List<Reservation> made) {
        if (!pendingReservations.remove(request)) {
            return List.of();
        }
        List<Reservation> usable =
                made.stream().filter(r -> r.epoch().equals(epoch(r.group()))).toList();
        usable.forEach(r -> reservations.put(r, true));
        return usable;
    }

    /**
     * Opens a permit on a reservation.
     *
     * @param reservation one that {@link #reservationEnded} returned
     * @return the permit
     */
    public Permit open(Reservation reservation) {
        return permits.open(reservation.upstream(), reservation.memoryTokens(), true);
    }

    /**
     * Gives a reservation up; the next statement no longer lists it.
     *
     * @param reservation the reservation
     */
    public void close(Reservation reservation) {
        reservations.remove(reservation);
    }

    /**
     * Notes evidence that an upstream started again or fails: only residual slots are used until a later request has
     * been answered.
     *
     * @param upstream the upstream
     * @param now monotonic time in milliseconds
     */
    public void suspect(UpstreamName upstream, long now) {
        HeldGrant held = grants.get(upstream);
        if (held != null) {
            held.suspect(now);
        }
    }

    /**
     * Sets what waits for an upstream.
     *
     * @param upstream the upstream
     * @param amount slots and memory
     */
    public void demand(UpstreamName upstream, Amount amount) {
        if (wanted.contains(upstream) && !amount.equals(Amount.ZERO)) {
            demands.put(upstream, amount);
        } else {
            demands.remove(upstream);
        }
    }

    /**
     * Returns the streams of an engine that this daemon answers for.
     *
     * @param upstream the engine
     * @return the streams
     */
    OwnedStreams streams(UpstreamName upstream) {
        return streams.computeIfAbsent(upstream, name -> new OwnedStreams());
    }

    private HolderStatement part(UpstreamName upstream, long now) {
        HeldGrant held = grants.get(upstream);
        OwnedStreams own = streams(upstream);
        List<StreamId> live = own.live().stream().limit(MAX_STREAMS_STATED).toList();
        Amount demand = demands.getOrDefault(upstream, Amount.ZERO);
        if (held == null) {
            return new HolderStatement(
                    upstream,
                    Epoch.ZERO,
                    0,
                    Amount.ZERO,
                    0,
                    0,
                    used(upstream),
                    demand,
                    false,
                    BootNumber.ZERO,
                    live,
                    own.ended(now));
        }
        Grant grant = held.grant();
        return new HolderStatement(
                upstream,
                grant.epoch(),
                grant.serial(),
                held.stated(now),
                held.residualSlots(),
                Math.max(0, held.expiresAt() - now),
                used(upstream),
                demand,
                held.isSuspected(),
                grant.boot(),
                live,
                own.ended(now));
    }
}
