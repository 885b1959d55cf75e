package org.endivehold.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;

/**
 * Failure detection in the manner of SWIM, as a state machine without clock or sockets.
 *
 * <p>Each period the daemon probes one other, in an order shuffled anew each round, so that every member is probed once
 * per round and a death is noticed within one round at the latest and within one period on average by somebody. If no
 * answer comes in time, a few others are asked to probe on its behalf, so that one bad link condemns nobody. If that
 * fails too, the daemon is suspected; the suspicion spreads with the ordinary messages, and the suspected daemon
 * refutes it by raising its state number. Only an unrefuted suspicion becomes a death. The cost per daemon and period
 * is one probe with its answer, whatever the size of the fleet; updates ride on these messages, a bounded number on
 * each.
 *
 * <p>A daemon that was itself paused would blame the others for the silence. It notices its pause by a gap between two
 * ticks, gives every suspicion the lost time back, starts its probe anew, and for a while waits longer; the same holds
 * while its probes fail often. This is the local health of Lifeguard.
 *
 * <p>Example: A, B and C live; C is killed. A pings C, hears nothing for the acknowledgement timeout, asks B; B pings C
 * in vain. At the end of the period A marks C as suspected and says so in its ping to B. Nobody raises C's number, so
 * after the suspicion time A and B both hold C to be dead.
 */
public final class MembershipProtocol {
    private static final int MAX_RELAYS = 1_024;
    private static final int MAX_HEALTH = 8;

    private final MembershipTimings timings;
    private final UniformRandomProvider random;
    private final MemberTable table = new MemberTable();
    private final UpdateQueue updates = new UpdateQueue();
    private final List<HostId> order = new ArrayList<>();
    private final Set<HostId> seeds = new HashSet<>();
    private final Map<Long, Relay> relays = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Relay> eldest) {
            return size() > MAX_RELAYS;
        }
    };
    private final List<MembershipAction> actions = new ArrayList<>();
    private Member self;
    private Probe probe;
    private long sequence;
    private long nextProbeAt = Long.MIN_VALUE;
    private long lastTick = Long.MIN_VALUE;
    private int health;

    /** A probe in progress. */
    private record Probe(HostId target, long sequence, long indirectAt, long endAt, boolean indirect) {}

    /** A probe on behalf of another daemon. */
    private record Relay(HostId requester, long sequence) {}

    /**
     * Creates the protocol of one daemon.
     *
     * @param self its own entry
     * @param timings times
     * @param random random numbers
     */
    public MembershipProtocol(Member self, MembershipTimings timings, UniformRandomProvider random) {
        this.self = self;
        this.timings = timings;
        this.random = random;
        table.put(self);
    }

    /**
     * Returns the own entry.
     *
     * @return this daemon
     */
    public Member self() {
        return self;
    }

    /**
     * Returns all remembered daemons.
     *
     * @return the members, in order of hosts
     */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(table.all());
    }

    /**
     * Tells which daemons the platform lists. Those that are not live members are pinged now and then, so that
     * newcomers are found and a fleet that was cut in two grows together again.
     *
     * @param hosts the listed hosts
     */
    public void seeds(Collection<HostId> hosts) {
        seeds.clear();
        seeds.addAll(hosts);
        seeds.remove(self.host());
    }

    /**
     * Changes the configuration that the others are told to be in force here.
     *
     * @param revision the revision
     * @param digest its digest
     */
    public void announceConfiguration(Revision revision, String digest) {
        raise(self.with(revision, digest), self.state());
    }

    /** Tells the others that this daemon is about to leave. */
    public void announceLeaving() {
        raise(self, Member.State.LEAVING);
    }

    /**
     * Lets time pass; to be called about every {@link MembershipTimings#tickMillis}.
     *
     * @param now monotonic time in milliseconds
     * @return what to do
     */
    public List<MembershipAction> tick(long now) {
        notePause(now);
        for (Member overdue : table.overdue(now)) {
            learn(overdue.with(Member.State.DEAD), now);
        }
        table.forget(now);
        advanceProbe(now);
        if (probe == null && now >= nextProbeAt) {
            startProbe(now);
            pingSeed();
        }
        return taken();
    }

    /**
     * Takes a message.
     *
     * @param from the sender
     * @param heartbeat the message
     * @param now monotonic time in milliseconds
     * @return what to do
     */
    public List<MembershipAction> receive(HostId from, Heartbeat heartbeat, long now) {
        boolean isNew = !isLive(from);
        learn(heartbeat.sender(), now);
        heartbeat.updates().forEach(update -> learn(update, now));
        switch (heartbeat.kind()) {
            case PING -> send(from, Heartbeat.Kind.ACK, heartbeat.sequence(), self.host(), isNew);
            case PING_REQUEST -> relay(from, heartbeat);
            default -> acknowledged(heartbeat, now);
        }
        return taken();
    }

    private void notePause(long now) {
        long gap = lastTick == Long.MIN_VALUE ? 0 : now - lastTick;
        lastTick = now;
        if (gap <= timings.pauseMillis()) {
            return;
        }
        health = Math.min(MAX_HEALTH, health + 1 + (int) Math.min(MAX_HEALTH, gap / timings.periodMillis()));
        table.postpone(gap);
        probe = null;
        nextProbeAt = now;
    }

    private void advanceProbe(long now) {
        if (probe == null) {
            return;
        }
        if (now >= probe.endAt()) {
            HostId target = probe.target();
            probe = null;
            health = Math.min(MAX_HEALTH, health + 1);
            table.find(target)
                    .filter(member -> member.state().compareTo(Member.State.SUSPECT) < 0)
                    .ifPresent(member -> learn(member.with(Member.State.SUSPECT), now));
        } else if (!probe.indirect() && now >= probe.indirectAt()) {
            probe = new Probe(probe.target(), probe.sequence(), probe.indirectAt(), probe.endAt(), true);
            for (HostId helper : helpers(probe.target())) {
                send(helper, Heartbeat.Kind.PING_REQUEST, probe.sequence(), probe.target(), false);
            }
        }
    }

    private void startProbe(long now) {
        nextProbeAt = now + timings.periodMillis();
        HostId target = nextTarget();
        if (target == null) {
            return;
        }
        long patience = 1L + health;
        long indirectAt = now + timings.ackTimeoutMillis() * patience;
        long endAt = Math.max(indirectAt + 2 * timings.ackTimeoutMillis(), now + timings.periodMillis() * patience);
        probe = new Probe(target, ++sequence, indirectAt, endAt, false);
        send(target, Heartbeat.Kind.PING, probe.sequence(), target, false);
    }

    private HostId nextTarget() {
        while (true) {
            if (order.isEmpty()) {
                live().forEach(order::add);
                shuffle(order);
            }
            if (order.isEmpty()) {
                return null;
            }
            HostId next = order.remove(order.size() - 1);
            if (isLive(next)) {
                return next;
            }
        }
    }

    private void pingSeed() {
        List<HostId> missing =
                seeds.stream().filter(host -> !isLive(host)).sorted().toList();
        if (!missing.isEmpty()) {
            HostId seed = missing.get(random.nextInt(missing.size()));
            send(seed, Heartbeat.Kind.PING, ++sequence, seed, false);
        }
    }

    private void relay(HostId from, Heartbeat request) {
        long own = ++sequence;
        relays.put(own, new Relay(from, request.sequence()));
        send(request.subject(), Heartbeat.Kind.PING, own, request.subject(), false);
    }

    private void acknowledged(Heartbeat ack, long now) {
        Relay relay = relays.remove(ack.sequence());
        if (relay != null) {
            send(relay.requester(), Heartbeat.Kind.ACK, relay.sequence(), ack.subject(), false);
        }
        if (probe != null
                && probe.sequence() == ack.sequence()
                && probe.target().equals(ack.subject())) {
            probe = null;
            health = Math.max(0, health - 1);
            nextProbeAt = Math.max(nextProbeAt, now);
        }
    }

    private void learn(Member update, long now) {
        if (update.host().equals(self.host())) {
            refute(update);
            return;
        }
        long suspicionMillis = timings.suspicionPeriods() * timings.periodMillis() * (1L + health);
        Optional<Member> changed = table.merge(update, now, suspicionMillis);
        changed.ifPresent(member -> {
            updates.add(member.host());
            actions.add(new MembershipAction.Changed(member));
        });
    }

    private void refute(Member claim) {
        boolean mine = claim.incarnation().equals(self.incarnation());
        boolean wrong = claim.state().compareTo(Member.State.SUSPECT) >= 0;
        if (mine && wrong && claim.stateNumber() >= self.stateNumber()) {
            health = Math.min(MAX_HEALTH, health + 1);
            self = self.with(self.state(), claim.stateNumber());
            raise(self, self.state());
        }
    }

    private void raise(Member own, Member.State state) {
        self = own.with(state, self.stateNumber() + 1);
        table.put(self);
        updates.add(self.host());
    }

    private void send(HostId to, Heartbeat.Kind kind, long number, HostId subject, boolean sync) {
        List<Member> news = sync ? everyone() : withDoubts(to, updates.take(table.byHost()));
        actions.add(new MembershipAction.Send(to, new Heartbeat(kind, number, subject, self, news)));
    }

    private List<Member> withDoubts(HostId to, List<Member> news) {
        Optional<Member> doubted = table.find(to).filter(m -> m.state().compareTo(Member.State.SUSPECT) >= 0);
        if (doubted.isEmpty() || news.contains(doubted.get())) {
            return news;
        }
        List<Member> all = new ArrayList<>(news);
        all.add(doubted.get());
        return all;
    }

    private List<Member> everyone() {
        return table.all().stream().limit(Heartbeat.MAX_SYNC_UPDATES).toList();
    }

    private List<HostId> helpers(HostId target) {
        List<HostId> others = new ArrayList<>(live());
        others.remove(target);
        shuffle(others);
        return others.subList(0, Math.min(timings.indirectProbes(), others.size()));
    }

    private List<HostId> live() {
        return table.all().stream()
                .map(Member::host)
                .filter(host -> !host.equals(self.host()) && isLive(host))
                .toList();
    }

    private boolean isLive(HostId host) {
        return table.find(host).filter(m -> m.state() != Member.State.DEAD).isPresent();
    }

    private void shuffle(List<HostId> hosts) {
        for (int i = hosts.size() - 1; i > 0; i--) {
            Collections.swap(hosts, i, random.nextInt(i + 1));
        }
    }

    private List<MembershipAction> taken() {
        List<MembershipAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }
}
