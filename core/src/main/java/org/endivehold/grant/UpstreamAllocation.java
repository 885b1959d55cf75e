package org.endivehold.grant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.config.Upstream;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.upstream.StreamOwner;

/**
 * How one grantor divides one upstream.
 *
 * <p>The invariant: the bounds of all accounts never sum to more than {@link #bound}, but for capacity that has dropped
 * and is being taken back. A grant is raised only by what the others' bounds leave, so it does not matter in which
 * order messages arrive or whether they are lost: a share moves from one holder to another only after the first has
 * said that it has given it up, or its time has passed.
 *
 * <p>What may be divided depends on the grantor's standing. With a valid lease and a complete takeover it is what the
 * upstream bears. Until the takeover is complete it is what the answers so far have stated, since the rest may be in
 * use by a daemon that has not answered. Without a valid lease it is what the accounts summed to when the lease lapsed,
 * and nothing expires: a successor may have counted it. Shares that holders state to have given up are then divided
 * again, so sharing goes on.
 */
final class UpstreamAllocation {
    private static final long RECOMPUTE_MILLIS = 50;
    private static final long SET_ASIDE_MILLIS = 2_000;
    private static final int LONG_PROMPT_DIVISOR = 4;
    private static final long ROTATE_MILLIS = 5_000;

    private final int group;
    private final Epoch epoch;
    private final GrantTimings timings;
    private final CapacityRamp ramp;
    private final Map<StreamOwner, HolderAccount> accounts =
            new TreeMap<>(Comparator.comparing(StreamOwner::host).thenComparing(StreamOwner::incarnation));
    private final Set<StreamOwner> contributors = new HashSet<>();
    private Upstream upstream;
    private boolean serving = true;
    private Optional<UpstreamReport> lastReport = Optional.empty();
    private Amount stated = Amount.ZERO;
    private Optional<Amount> lapsed = Optional.empty();
    private Standing standing = new Standing(false, false, 0);
    private Amount setAside = Amount.ZERO;
    private long setAsideUntil = Long.MIN_VALUE;
    private Map<StreamOwner, Amount> targets = new HashMap<>();
    private long targetsAt = Long.MIN_VALUE;

    /** The grantor's standing at one instant. */
    record Standing(boolean leaseValid, boolean complete, long now) {}

    UpstreamAllocation(int group, Epoch epoch, Upstream upstream, GrantTimings timings) {
        this.group = group;
        this.epoch = epoch;
        this.upstream = upstream;
        this.timings = timings;
        this.ramp = new CapacityRamp(upstream);
    }

    Upstream upstream() {
        return upstream;
    }

    CapacityRamp ramp() {
        return ramp;
    }

    Optional<UpstreamReport> lastReport() {
        return lastReport;
    }

    Collection<HolderAccount> accounts() {
        return accounts.values();
    }

    void configure(Upstream next, boolean isServing) {
        upstream = next;
        serving = isServing;
        ramp.configure(next);
        targetsAt = Long.MIN_VALUE;
    }

    /** Brings time and standing up to date; to be called before anything else at an instant. */
    void advance(Standing next) {
        standing = next;
        if (next.leaseValid()) {
            lapsed = Optional.empty();
            accounts.values().forEach(account -> account.expire(next.now()));
            accounts.values().removeIf(HolderAccount::isEmpty);
        } else if (lapsed.isEmpty()) {
            lapsed = Optional.of(sum());
        }
    }

    /** Takes a holder's statement; null if it says nothing of this upstream. */
    void state(HolderStatement statement, GroupStatement from) {
        HolderAccount account = account(from.holder());
        if (!account.isNews(from.number())) {
            return;
        }
        account.state(statement, from, standing.now());
        if (statement != null && statement.suspected()) {
            ramp.suspect(standing.now());
            targetsAt = Long.MIN_VALUE;
        }
        if (contributors.add(from.holder())) {
            contribute(account, statement, from);
        }
    }

    /** Takes a load report. */
    void report(UpstreamReport report) {
        ramp.report(report);
        lastReport = Optional.of(report);
        accounts.values().forEach(account -> account.report(report));
        targetsAt = Long.MIN_VALUE;
    }

    /** A host's earlier processes have ended, or all of them. */
    void end(HostId host, Optional<StreamOwner> survivor) {
        for (HolderAccount account : accounts.values()) {
            if (account.owner().host().equals(host)
                    && !Optional.of(account.owner()).equals(survivor)) {
                account.end();
            }
        }
    }

    /** Makes the next grant for a holder; not yet counted. */
    Grant next(StreamOwner owner, long serial, boolean residualAllowed, long ttlMillis) {
        HolderAccount account = account(owner);
        Amount available = bound().minus(sumWithout(owner)).minus(account.reserved());
        Amount amount = targets().getOrDefault(owner, Amount.ZERO).min(available);
        int residual = residual(account, amount, residualAllowed);
        return new Grant(
                group,
                epoch,
                serial,
                upstream.name(),
                amount,
                residual,
                ttlMillis,
                ramp.boot(),
                ramp.waitingPrefillTokens());
    }

    /** Counts a grant that is about to be sent. */
    void issue(StreamOwner owner, Grant grant, long expiresAt) {
        account(owner).issue(grant, expiresAt);
    }

    /**
     * Returns whether shares had better change before the next renewals: one is too small, or all together too large.
     */
    boolean isUneven() {
        boolean hungry = false;
        for (HolderAccount account : accounts.values()) {
            Amount want =
                    account.inFlight().plus(account.demand()).min(targets().getOrDefault(account.owner(), Amount.ZERO));
            hungry |= account.isActive(standing.now())
                    && !account.demand().equals(Amount.ZERO)
                    && !account.granted().covers(want);
        }
        return hungry || standing.now() < setAsideUntil || !bound().covers(sum());
    }

    /** Returns whether the holder can be told of a change before it asks. */
    boolean isDue(HolderAccount account) {
        if (!account.isActive(standing.now()) || standing.now() >= account.expiresAt()) {
            return false;
        }
        Amount target = targets().getOrDefault(account.owner(), Amount.ZERO);
        Amount available = bound().minus(sumWithout(account.owner())).minus(account.reserved());
        return !target.min(available).equals(account.granted());
    }

    /** Reserves a slot and memory, if there is room beside all shares; otherwise sets room aside for another try. */
    Optional<Reservation> reserve(StreamOwner owner, long number, long memoryTokens, long serial) {
        Amount wanted = new Amount(1, memoryTokens);
        int longPrompts = accounts.values().stream()
                .mapToInt(HolderAccount::reservationCount)
                .sum();
        if (!serving || longPrompts >= Math.max(1, upstream.slots() / LONG_PROMPT_DIVISOR)) {
            return Optional.empty();
        }
        if (!free().covers(wanted)) {
            setAside(wanted);
            return Optional.empty();
        }
        Reservation made = new Reservation(group, epoch, serial, upstream.name(), memoryTokens);
        account(owner).reserve(made, number);
        if (setAside.memoryTokens() <= memoryTokens) {
            setAsideUntil = Long.MIN_VALUE;
        }
        targetsAt = Long.MIN_VALUE;
        return Optional.of(made);
    }

    /** Keeps capacity from being granted for a while, so that a reservation finds it. */
    void setAside(Amount amount) {
        setAside = amount;
        setAsideUntil = standing.now() + SET_ASIDE_MILLIS;
        targetsAt = Long.MIN_VALUE;
    }

    /** Returns the part of a divided prompt to try for: what is free, or else as much as the engine can ever take. */
    long splitPart(long missing) {
        long most = Math.min(missing, upstream.memoryTokens());
        long free = free().slots() == 0 ? 0 : Math.min(most, free().memoryTokens());
        if (free < most) {
            setAside(new Amount(1, most));
        }
        return free > 0 ? free : most;
    }

    /** Returns what no account may be using. */
    Amount free() {
        return bound().minus(sum());
    }

    /** Returns what may be divided now. */
    Amount bound() {
        if (!serving) {
            return Amount.ZERO;
        }
        Amount bound = ramp.bears(standing.now()).minus(unaccounted());
        if (!standing.complete()) {
            bound = bound.min(stated);
        }
        return lapsed.map(bound::min).orElse(bound);
    }

    /** Returns the sum over all accounts. */
    Amount sum() {
        return accounts.values().stream().map(HolderAccount::count).reduce(Amount.ZERO, Amount::plus);
    }

    private HolderAccount account(StreamOwner owner) {
        return accounts.computeIfAbsent(owner, o -> new HolderAccount(o, epoch, timings, standing.now()));
    }

    private void contribute(HolderAccount account, HolderStatement statement, GroupStatement from) {
        for (Reservation old : from.reservations()) {
            if (old.upstream().equals(upstream.name()) && !old.epoch().equals(epoch)) {
                account.adopt(old);
            }
        }
        Amount count = account.count();
        stated = stated.plus(count);
        lapsed = lapsed.map(count::plus);
        if (statement != null) {
            ramp.stated(count.slots(), statement.boot());
        }
        targetsAt = Long.MIN_VALUE;
    }

    private Amount sumWithout(StreamOwner owner) {
        Amount sum = Amount.ZERO;
        for (HolderAccount account : accounts.values()) {
            if (!account.owner().equals(owner)) {
                sum = sum.plus(account.count());
            }
        }
        return sum;
    }

    private int residual(HolderAccount own, Amount amount, boolean allowed) {
        if (!allowed) {
            return 0;
        }
        int others = 0;
        int active = 1;
        for (HolderAccount account : accounts.values()) {
            if (account != own) {
                others += account.residual();
                active += account.isActive(standing.now()) ? 1 : 0;
            }
        }
        int wish = Math.max(own.residual(), (ramp.cold() + active - 1) / active);
        if (!standing.leaseValid() || !standing.complete()) {
            wish = own.residual();
        }
        return Math.max(0, Math.min(Math.min(wish, ramp.cold() - others), amount.slots()));
    }

    private Amount unaccounted() {
        if (lastReport.isEmpty() || lastReport.get().byOwner().isEmpty()) {
            return Amount.ZERO;
        }
        Amount sum = Amount.ZERO;
        for (Map.Entry<StreamOwner, Amount> entry :
                lastReport.get().byOwner().get().entrySet()) {
            if (!accounts.containsKey(entry.getKey())) {
                sum = sum.plus(entry.getValue());
            }
        }
        return sum;
    }

    private Map<StreamOwner, Amount> targets() {
        if (targetsAt == Long.MIN_VALUE || standing.now() - targetsAt >= RECOMPUTE_MILLIS) {
            targetsAt = standing.now();
            targets = divide();
        }
        return targets;
    }

    private Map<StreamOwner, Amount> divide() {
        List<HolderAccount> active = new ArrayList<>();
        Amount total = bound();
        for (HolderAccount account : accounts.values()) {
            if (account.isActive(standing.now())) {
                active.add(account);
                total = total.minus(account.reserved());
            } else {
                total = total.minus(account.count());
            }
        }
        if (standing.now() < setAsideUntil) {
            total = total.minus(setAside);
        }
        int rotation = (int)
                Math.floorMod(standing.now() / ROTATE_MILLIS + upstream.name().hashCode(), 1 << 16);
        long[] slots = FairShares.divide(total.slots(), wants(active, false), rotation);
        long[] memory = FairShares.divide(total.memoryTokens(), wants(active, true), rotation);
        Map<StreamOwner, Amount> divided = new HashMap<>();
        for (int i = 0; i < active.size(); i++) {
            divided.put(active.get(i).owner(), new Amount((int) slots[i], memory[i]));
        }
        return divided;
    }

    private static long[] wants(List<HolderAccount> active, boolean memory) {
        return active.stream()
                .map(account -> account.inFlight().plus(account.demand()))
                .mapToLong(want -> memory ? want.memoryTokens() : want.slots())
                .toArray();
    }
}
