package org.endivehold.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.Revision;
import org.endivehold.misc.ZoneName;

/**
 * Drives the {@link MembershipProtocol}s of many daemons by a queue of ticks and deliveries, to measure what they cost
 * and how they bear loss, delay and pauses. The same seed gives the same run.
 */
public final class MembershipFleet {
    private static final ZoneName ZONE = new ZoneName("zone");

    private final MembershipTimings timings;
    private final Network network;
    private final UniformRandomProvider random;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private ToIntFunction<Heartbeat> sizeBytes = heartbeat -> 0;
    private long now;
    private long order;
    private long messages;
    private long bytes;
    private int falseDeaths;

    /**
     * How the network treats each message.
     *
     * @param loss probability that it is lost
     * @param minDelayMillis shortest delay in milliseconds
     * @param maxDelayMillis longest delay in milliseconds
     */
    public record Network(double loss, int minDelayMillis, int maxDelayMillis) {}

    private record Event(long at, long order, int node, HostId from, Heartbeat heartbeat) {}

    private static final class Node {
        private final MembershipProtocol protocol;
        private boolean killed;
        private long pausedUntil;

        Node(MembershipProtocol protocol) {
            this.protocol = protocol;
        }
    }

    /**
     * Creates a fleet in which each daemon knows the first one as its seed.
     *
     * @param size number of daemons
     * @param timings times
     * @param network the network
     * @param seed seed of all random numbers
     */
    public MembershipFleet(int size, MembershipTimings timings, Network network, long seed) {
        this.timings = timings;
        this.network = network;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < size; i++) {
            add(seed);
        }
    }

    /**
     * Sets how large messages are.
     *
     * @param size gives the bytes of a message
     * @return this
     */
    public MembershipFleet sizes(ToIntFunction<Heartbeat> size) {
        sizeBytes = size;
        return this;
    }

    /**
     * Adds a daemon.
     *
     * @param seed seed of its random numbers
     */
    public void add(long seed) {
        int index = nodes.size();
        Member self = new Member(
                host(index), new Incarnation(1), ZONE, "127.0.0.1", 1, Member.State.ALIVE, 0, Revision.ZERO, "");
        UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + index);
        MembershipProtocol protocol = new MembershipProtocol(self, timings, own);
        protocol.seeds(List.of(host(0)));
        nodes.add(new Node(protocol));
        schedule(now + random.nextLong(timings.periodMillis()), index, null, null);
    }

    /**
     * Kills a daemon.
     *
     * @param index its number
     */
    public void kill(int index) {
        nodes.get(index).killed = true;
    }

    /**
     * Pauses a daemon: it handles nothing, and finds everything waiting when it goes on.
     *
     * @param index its number
     * @param millis length of the pause in milliseconds
     */
    public void pause(int index, long millis) {
        nodes.get(index).pausedUntil = now + millis;
    }

    /**
     * Lets time pass.
     *
     * @param millis milliseconds
     */
    public void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            handle(event);
        }
        now = end;
    }

    /**
     * Returns what one daemon believes of another.
     *
     * @param observer number of the daemon that believes
     * @param subject number of the other
     * @return the state; {@code DEAD} if the other is not known
     */
    public Member.State view(int observer, int subject) {
        return nodes.get(observer).protocol.members().stream()
                .filter(m -> m.host().equals(host(subject)))
                .map(Member::state)
                .findFirst()
                .orElse(Member.State.DEAD);
    }

    /**
     * Returns a daemon's protocol.
     *
     * @param index its number
     * @return the protocol
     */
    public MembershipProtocol protocol(int index) {
        return nodes.get(index).protocol;
    }

    /**
     * Returns the number of messages sent so far.
     *
     * @return messages of all daemons together
     */
    public long messages() {
        return messages;
    }

    /**
     * Returns the bytes sent so far.
     *
     * @return bytes of all daemons together
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns how often a daemon took a live one for dead.
     *
     * @return the number of such changes
     */
    public int falseDeaths() {
        return falseDeaths;
    }

    private void handle(Event event) {
        Node node = nodes.get(event.node());
        if (node.killed) {
            return;
        }
        if (now < node.pausedUntil) {
            schedule(node.pausedUntil, event.node(), event.from(), event.heartbeat());
            return;
        }
        if (event.heartbeat() != null) {
            perform(event.node(), node.protocol.receive(event.from(), event.heartbeat(), now));
        } else {
            perform(event.node(), node.protocol.tick(now));
            schedule(now + timings.tickMillis(), event.node(), null, null);
        }
    }

    private void perform(int sender, List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.Send send) {
                transmit(sender, send);
            } else if (action instanceof MembershipAction.Changed changed) {
                count(changed.member());
            }
        }
    }

    private void transmit(int sender, MembershipAction.Send send) {
        messages++;
        bytes += sizeBytes.applyAsInt(send.heartbeat());
        if (random.nextDouble() >= network.loss()) {
            int spread = network.maxDelayMillis() - network.minDelayMillis() + 1;
            long at = now + network.minDelayMillis() + random.nextInt(spread);
            schedule(at, index(send.to()), host(sender), send.heartbeat());
        }
    }

    private void count(Member member) {
        Node subject = nodes.get(index(member.host()));
        if (member.state() == Member.State.DEAD && !subject.killed && now >= subject.pausedUntil) {
            falseDeaths++;
        }
    }

    private void schedule(long at, int node, HostId from, Heartbeat heartbeat) {
        events.add(new Event(at, order++, node, from, heartbeat));
    }

    private static HostId host(int index) {
        return new HostId(String.format(java.util.Locale.ROOT, "host-%04d", index));
    }

    private static int index(HostId host) {
        return Integer.parseInt(host.value().substring("host-".length()));
    }
}
