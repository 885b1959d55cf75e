package org.endivehold.grant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.config.Upstream;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.EngineOrder;
import org.endivehold.upstream.StreamOwner;

/**
 * Divides the upstreams of one group among the daemons, in one epoch. A state machine without clock or sockets.
 *
 * <p>Why two grantors at once do no harm. A daemon that answers a successor refuses older epochs from then on, also
 * grants already under way, and states what it holds; the successor counts that, and divides only what was stated until
 * it has heard of everybody. So for every daemon there is one instant, its answer, before which only the old grantor's
 * account of it is right and after which only the successor's. The old grantor without a lease moves shares only
 * between daemons that have told it so themselves, hence before that instant for the giving daemon; and the receiving
 * one either states the share to the successor, or refuses it.
 *
 * <p>Example: an upstream bears 4; A and B hold 2 each from G. G is cut off from the key-value service; S takes epoch 2
 * and asks A, which states 2. S can divide 2. B does not hear S and hands 1 back to G, and G grants it to C, which has
 * not heard S either. When B and C answer they state 1 each, S has 4 again, and at no time were more than 4 in use.
 */
public final class Grantor {
    private final int group;
    private final Epoch epoch;
    private final GrantTimings timings;
    private final Takeover takeover;
    private final Map<UpstreamName, UpstreamAllocation> allocations = new TreeMap<>();
    private final Map<HostId, StreamOwner> processes = new HashMap<>();
    private final OrderGate gate;
    private final OrphanFinder orphans = new OrphanFinder();
    private long leaseUntil = Long.MIN_VALUE;
    private long serial;
    private boolean stopped;

    /**
     * A grant for one holder.
     *
     * @param holder the holder
     * @param grant the grant
     */
    public record Addressed(StreamOwner holder, Grant grant) {}

    /**
     * An order for one engine.
     *
     * @param upstream the engine
     * @param order the order
     */
    public record AddressedOrder(UpstreamName upstream, EngineOrder order) {}

    /**
     * Starts a grantor that has just taken a group.
     *
     * @param group the group
     * @param epoch its epoch
     * @param first whether the group never had a grantor before
     * @param timings times
     * @param now monotonic time in milliseconds
     */
    public Grantor(int group, Epoch epoch, boolean first, GrantTimings timings, long now) {
        this.group = group;
        this.epoch = epoch;
        this.timings = timings;
        this.takeover = new Takeover(epoch, first, timings, now);
        this.gate = new OrderGate(now, timings.orderMillis());
    }

    /**
     * Returns the group.
     *
     * @return its number
     */
    public int group() {
        return group;
    }

    /**
     * Returns the epoch.
     *
     * @return the fencing number
     */
    public Epoch epoch() {
        return epoch;
    }

    /**
     * Sets the upstreams of the group.
     *
     * @param upstreams all configured ones, also those that get no new work
     * @param serving the names of those that may get new work
     */
    public void configure(Collection<Upstream> upstreams, Set<UpstreamName> serving) {
        Set<UpstreamName> names = new HashSet<>();
        for (Upstream upstream : upstreams) {
            names.add(upstream.name());
            allocations
                    .computeIfAbsent(upstream.name(), name -> new UpstreamAllocation(group, epoch, upstream, timings))
                    .configure(upstream, serving.contains(upstream.name()));
        }
        allocations.keySet().retainAll(names);
    }

    /**
     * Notes until when the lease is certainly held, by this host's clock. A grantor that has paused calls it with the
     * present time, and so acts as one without a lease until the lease has been renewed.
     *
     * @param until monotonic time in milliseconds
     */
    public void lease(long until) {
        leaseUntil = until;
    }

    /**
     * Tells whether the lease is certainly held.
     *
     * @param now monotonic time in milliseconds
     * @return false from a margin before the lease may lapse
     */
    public boolean isLeaseValid(long now) {
        return now < leaseUntil;
    }

    /**
     * Tells whether everybody who may hold shares has been heard of.
     *
     * @param now monotonic time in milliseconds
     * @return whether the takeover is complete
     */
    public boolean isComplete(long now) {
        return takeover.isComplete(now);
    }

    /**
     * Takes a reading of the platform's host list.
     *
     * @param hosts the listed hosts
     * @param readAt monotonic time at which it was asked for, in milliseconds
     */
    public void list(Collection<HostId> hosts, long readAt) {
        takeover.list(hosts, readAt);
    }

    /**
     * Names the host of the grantor before this one, by the record of the group.
     *
     * @param host its host, which has to be heard of also where the host list does not show it
     */
    public void after(HostId host) {
        takeover.expect(List.of(host));
    }

    /**
     * Returns whom to ask for a statement, and notes that they are being asked.
     *
     * @param live daemons believed to be live, listed or not
     * @return hosts that have not answered
     */
    public List<HostId> ask(Collection<HostId> live) {
        takeover.expect(live);
        return takeover.unanswered();
    }

    /**
     * Takes a holder's statement, from a renewal or from an answer to a question.
     *
     * @param statement the statement
     * @param now monotonic time in milliseconds
     * @return true if it counts; false if the holder has yet to be told of this epoch, or knows a higher one, upon
     *     which this grantor has stopped
     */
    public boolean state(GroupStatement statement, long now) {
        if (statement.fenced().compareTo(epoch) > 0) {
            stopped = true;
        }
        if (stopped || !statement.fenced().equals(epoch)) {
            return false;
        }
        StreamOwner holder = statement.holder();
        StreamOwner known = processes.get(holder.host());
        if (known != null && known.incarnation().compareTo(holder.incarnation()) > 0) {
            return false;
        }
        processes.put(holder.host(), holder);
        takeover.answered(holder, now);
        orphans.state(holder.host(), statement.upstreams());
        advance(now);
        Map<UpstreamName, HolderStatement> parts = new HashMap<>();
        statement.upstreams().forEach(part -> parts.put(part.upstream(), part));
        for (UpstreamAllocation allocation : allocations.values()) {
            allocation.state(parts.get(allocation.upstream().name()), statement);
            allocation.end(holder.host(), Optional.of(holder));
        }
        return true;
    }

    /**
     * Takes what an earlier grantor of the group stated when it stopped.
     *
     * @param statement the statement
     */
    public void predecessor(GrantorStatement statement) {
        takeover.predecessor(statement);
    }

    /**
     * Renews a holder's grants after its statement was taken.
     *
     * @param statement the statement
     * @param now monotonic time in milliseconds
     * @return a grant for each upstream of the statement
     */
    public List<Grant> renew(GroupStatement statement, long now) {
        List<Grant> grants = new ArrayList<>();
        if (stopped
                || !statement.holder().equals(processes.get(statement.holder().host()))) {
            return grants;
        }
        advance(now);
        for (HolderStatement part : statement.upstreams()) {
            UpstreamAllocation allocation = allocations.get(part.upstream());
            if (allocation != null) {
                grants.add(issue(allocation, statement.holder(), now + timings.expiryMillis()));
            }
        }
        return grants;
    }

    /**
     * Changes shares between renewals: where capacity has dropped, and where work waits while others have room. The new
     * grants keep the end of those that they replace.
     *
     * @param now monotonic time in milliseconds
     * @return grants to push to their holders
     */
    public List<Addressed> rebalance(long now) {
        List<Addressed> pushed = new ArrayList<>();
        if (stopped) {
            return pushed;
        }
        advance(now);
        for (UpstreamAllocation allocation : allocations.values()) {
            if (!allocation.isUneven()) {
                continue;
            }
            for (HolderAccount account : List.copyOf(allocation.accounts())) {
                if (allocation.isDue(account)) {
                    StreamOwner holder = account.owner();
                    pushed.add(new Addressed(holder, issue(allocation, holder, account.expiresAt())));
                }
            }
        }
        return pushed;
    }

    /**
     * Takes a load report.
     *
     * @param upstream the upstream
     * @param report the report
     * @param now monotonic time in milliseconds
     */
    public void report(UpstreamName upstream, UpstreamReport report, long now) {
        UpstreamAllocation allocation = allocations.get(upstream);
        if (allocation != null) {
            advance(now);
            allocation.report(report);
        }
    }

    /**
     * Returns orders that free what belongs to no living daemon, by the last load reports. Each is repeated until a
     * report shows its effect.
     *
     * @param now monotonic time in milliseconds
     * @return orders that may be sent now
     */
    public List<AddressedOrder> orphans(long now) {
        List<AddressedOrder> orders = new ArrayList<>();
        for (UpstreamAllocation allocation : allocations.values()) {
            Upstream upstream = allocation.upstream();
            Optional<EngineLoad> load = allocation.lastReport().flatMap(UpstreamReport::engine);
            if (stopped || load.isEmpty() || !gate.isOpen(upstream.checksFencing(), true, leaseUntil, now)) {
                continue;
            }
            for (EngineOrder order :
                    orphans.find(upstream.name(), load.get(), owner -> hasEnded(owner, now), epoch, now)) {
                orders.add(new AddressedOrder(upstream.name(), order));
            }
        }
        return orders;
    }

    /**
     * Decides whether an order may be sent now.
     *
     * @param upstream the engine
     * @param order the order
     * @param now monotonic time in milliseconds
     * @return false if this grantor has stopped, or the engine ignores fencing numbers and another grantor's orders may
     *     be under way
     */
    public boolean mayOrder(UpstreamName upstream, EngineOrder order, long now) {
        UpstreamAllocation allocation = allocations.get(upstream);
        boolean frees = order instanceof EngineOrder.CancelStream
                || order instanceof EngineOrder.ReleaseCache
                || order instanceof EngineOrder.UnloadVersion;
        return !stopped
                && allocation != null
                && gate.isOpen(allocation.upstream().checksFencing(), frees, leaseUntil, now);
    }

    /**
     * Reserves capacity for one long prompt, in one step: engines that can each take a part, or one that takes it
     * whole.
     *
     * @param holder who asks, known by an earlier statement
     * @param number number of the request, of the same series as its statements
     * @param request what is needed; candidates outside the group are ignored
     * @param now monotonic time in milliseconds
     * @return reservations that cover the need; or, if it may be split, as much as there is; empty if there is none
     */
    public List<Reservation> reserve(StreamOwner holder, long number, ReservationRequest request, long now) {
        List<Reservation> made = new ArrayList<>();
        if (stopped || !holder.equals(processes.get(holder.host()))) {
            return made;
        }
        advance(now);
        long missing = request.memoryTokens();
        for (UpstreamName candidate : request.candidates()) {
            UpstreamAllocation allocation = allocations.get(candidate);
            if (allocation == null || missing <= 0) {
                continue;
            }
            long part = request.mayBeSplit() ? allocation.splitPart(missing) : missing;
            Optional<Reservation> one = allocation.reserve(holder, number, part, ++serial);
            if (one.isPresent()) {
                made.add(one.get());
                missing -= part;
            }
        }
        return made;
    }

    /**
     * Stops for good, since a higher epoch is known.
     *
     * @param now monotonic time in milliseconds
     * @return what the successor has to know
     */
    public GrantorStatement stop(long now) {
        stopped = true;
        Set<HostId> served = new HashSet<>(processes.keySet());
        served.addAll(takeover.expected());
        return new GrantorStatement(
                epoch, takeover.isComplete(now), served.stream().sorted().toList(), List.copyOf(processes.values()));
    }

    /**
     * Tells whether this grantor has stopped.
     *
     * @return true once a higher epoch is known
     */
    public boolean isStopped() {
        return stopped;
    }

    /**
     * Returns the group's upstreams as they stand.
     *
     * @return a line per upstream
     */
    public List<UpstreamStatus> status() {
        return allocations.values().stream()
                .map(a -> new UpstreamStatus(
                        a.upstream().name(),
                        a.bound(),
                        a.sum(),
                        a.ramp().boot(),
                        a.accounts().size()))
                .toList();
    }

    /**
     * One upstream as its grantor sees it.
     *
     * @param upstream the upstream
     * @param bound what may be divided
     * @param counted what holders may be using
     * @param boot boot number by the last report
     * @param holders number of holders
     */
    public record UpstreamStatus(UpstreamName upstream, Amount bound, Amount counted, BootNumber boot, int holders) {}

    Collection<UpstreamAllocation> allocations() {
        return allocations.values();
    }

    private Grant issue(UpstreamAllocation allocation, StreamOwner holder, long expiresAt) {
        boolean listed = takeover.isListed(holder.host());
        Grant grant = allocation.next(holder, ++serial, listed, timings.grantMillis());
        allocation.issue(holder, grant, expiresAt);
        return grant;
    }

    private void advance(long now) {
        UpstreamAllocation.Standing standing =
                new UpstreamAllocation.Standing(isLeaseValid(now), takeover.isComplete(now), now);
        for (UpstreamAllocation allocation : allocations.values()) {
            if (standing.leaseValid()) {
                endDropped(allocation, now);
            }
            allocation.advance(standing);
        }
    }

    private void endDropped(UpstreamAllocation allocation, long now) {
        for (HolderAccount account : allocation.accounts()) {
            if (!account.isActive(now) && takeover.isDropped(account.owner().host(), now)) {
                account.end();
            }
        }
    }

    private boolean hasEnded(StreamOwner owner, long now) {
        StreamOwner known = processes.get(owner.host());
        boolean replaced = known != null && known.incarnation().compareTo(owner.incarnation()) > 0;
        return replaced || takeover.isDropped(owner.host(), now);
    }
}
