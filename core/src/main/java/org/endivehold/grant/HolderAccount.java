package org.endivehold.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivehold.misc.Epoch;
import org.endivehold.upstream.StreamOwner;

/**
 * An upper bound on what one holder can be using of one upstream, from what it was sent and what it said.
 *
 * <p>The holder uses at most the larger of what it was granted and what it had in flight; so the bound is the maximum
 * over the last statement and every grant sent since that the statement does not cover. A statement that names a grant
 * settles all earlier ones: the holder refuses them from then on. Time settles the rest, except that streams in flight
 * outlive a grant; those count until the upstream's own report, made late enough, no longer shows them.
 */
final class HolderAccount {
    private final StreamOwner owner;
    private final Epoch epoch;
    private final GrantTimings timings;
    private final List<Issue> issues = new ArrayList<>();
    private final Map<Long, Held> reservations = new HashMap<>();
    private Amount held = Amount.ZERO;
    private Amount inFlight = Amount.ZERO;
    private Amount demand = Amount.ZERO;
    private int residualSlots;
    private long heldUntil = Long.MIN_VALUE;
    private long lastNumber = -1;
    private long lastSeen;
    private long settledAt;
    private boolean expired;
    private boolean gone;

    private record Issue(long serial, Amount amount, int residualSlots, long expiresAt) {
        /** Returns what is left of it after its time, however late it arrives. */
        Issue afterwards() {
            return new Issue(serial, Grant.residual(amount, residualSlots), residualSlots, expiresAt);
        }
    }

    private record Held(Reservation reservation, long number) {}

    HolderAccount(StreamOwner owner, Epoch epoch, GrantTimings timings, long now) {
        this.owner = owner;
        this.epoch = epoch;
        this.timings = timings;
        this.lastSeen = now;
    }

    StreamOwner owner() {
        return owner;
    }

    Amount demand() {
        return demand;
    }

    Amount inFlight() {
        return inFlight;
    }

    /** Returns whether the statement is newer than all before. */
    boolean isNews(long number) {
        return number > lastNumber;
    }

    boolean isActive(long now) {
        return !gone && now - lastSeen <= timings.activeMillis();
    }

    /** Takes the holder's newest statement; null if it says nothing of this upstream. */
    void state(HolderStatement statement, GroupStatement group, long now) {
        lastNumber = group.number();
        lastSeen = now;
        gone = false;
        if (statement != null) {
            held = statement.held();
            inFlight = statement.inFlight();
            demand = statement.demand();
            residualSlots = statement.residualSlots();
            heldUntil = now + timings.withDrift(statement.remainingMillis());
            if (statement.epoch().equals(epoch)) {
                issues.removeIf(issue -> issue.serial() <= statement.serial());
            }
        } else if (issues.isEmpty()) {
            held = Amount.ZERO;
            inFlight = Amount.ZERO;
            demand = Amount.ZERO;
            residualSlots = 0;
        }
        expired = false;
        reservations.values().removeIf(own -> isReleased(own, group));
    }

    /** Notes a grant that is on its way to the holder. */
    void issue(Grant grant, long expiresAt) {
        issues.add(new Issue(grant.serial(), grant.amount(), grant.residualSlots(), expiresAt));
        expired = false;
    }

    void reserve(Reservation reservation, long number) {
        reservations.put(reservation.serial(), new Held(reservation, number));
    }

    /** Adopts a reservation that an earlier grantor made. */
    void adopt(Reservation reservation) {
        reservations.put(-reservation.serial() - 1, new Held(reservation, Long.MIN_VALUE));
    }

    int reservationCount() {
        return reservations.size();
    }

    /** Returns what reservations occupy. */
    Amount reserved() {
        return reservations.values().stream()
                .map(own -> own.reservation().amount())
                .reduce(Amount.ZERO, Amount::plus);
    }

    /** Returns what the holder was granted last. */
    Amount granted() {
        return issues.isEmpty() ? held : issues.get(issues.size() - 1).amount();
    }

    /** Returns the bound on the pooled share. */
    Amount pooled() {
        Amount bound = held.max(inFlight);
        for (Issue issue : issues) {
            bound = bound.max(issue.amount());
        }
        return bound;
    }

    /** Returns the bound on everything. */
    Amount count() {
        return pooled().plus(reserved());
    }

    /** Returns the slots that the holder may go on using without any grant. */
    int residual() {
        int bound = residualSlots;
        for (Issue issue : issues) {
            bound = Math.max(bound, issue.residualSlots());
        }
        return bound;
    }

    /** Returns when the grantor's last word to the holder expires; for changes in between. */
    long expiresAt() {
        long last = heldUntil;
        for (Issue issue : issues) {
            last = Math.max(last, issue.expiresAt());
        }
        return last;
    }

    /** The process is known to have ended: nothing new starts there. */
    void end() {
        gone = true;
    }

    boolean hasEnded() {
        return gone;
    }

    /**
     * Counts grants whose time has passed as expired. Only for a grantor whose lease is valid: a successor may already
     * have counted the same capacity.
     */
    void expire(long now) {
        if (!expired && now >= expiresAt()) {
            Amount peak = pooled();
            held = Grant.residual(held, residualSlots);
            issues.replaceAll(Issue::afterwards);
            inFlight = peak;
            expired = true;
            settledAt = now + timings.orderMillis();
        }
        if (expired && gone) {
            held = Amount.ZERO;
            residualSlots = 0;
            issues.clear();
        }
    }

    /** Lowers what an expired holder may still have in flight to what the upstream shows. */
    void report(UpstreamReport report) {
        if (expired && report.takenAt() >= settledAt) {
            Amount shown = report.usedBy(owner, inFlight.plus(reserved()));
            inFlight = inFlight.min(shown);
            if (shown.equals(Amount.ZERO)) {
                reservations.clear();
            }
        }
    }

    boolean isEmpty() {
        return expired && gone && count().equals(Amount.ZERO);
    }

    private static boolean isReleased(Held own, GroupStatement group) {
        return group.number() > own.number()
                && !group.pendingReservations().contains(own.number())
                && !group.reservations().contains(own.reservation());
    }
}
