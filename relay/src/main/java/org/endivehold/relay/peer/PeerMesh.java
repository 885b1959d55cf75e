package org.endivehold.relay.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.connection.ConnectionLimits;
import org.endivehold.relay.schedule.SchedulerPeers;
import org.jboss.logging.Logger;

/**
 * Connections between daemons.
 *
 * <p>Each daemon opens one connection to every coordinator ({@link DaemonDirectory}), sends the state of its jobs over
 * it and receives answers on it. Broadcast messages are batched for some milliseconds. Both sides ping, so that a dead
 * connection is detected and reopened. The side that connects sends all of its running jobs first, so that no messages
 * have to be kept for a daemon that is not connected.
 */
public final class PeerMesh implements SchedulerPeers, SuspectPeers {
    /** Time for which broadcast messages are batched with few connections, in milliseconds. */
    private static final int BATCH_MILLIS = 8;
    /** Connections per additional millisecond of batching: the cost of a broadcast grows with their number. */
    private static final int CONNECTIONS_PER_BATCH_MILLI = 2;
    /** Interval between pings, in milliseconds. */
    private static final int PING_MILLIS = 700;
    /** Time without a message after which a connection is closed, in milliseconds: three pings. */
    static final int PEER_TIMEOUT_MILLIS = 2_200;
    /** Timeout for opening a connection, in milliseconds. */
    private static final int CONNECT_MILLIS = 700;
    /** Time for which a daemon that did not answer in time gets no placement requests, in milliseconds. */
    private static final int SUSPECT_MILLIS = 1_000;
    /** Failed connection attempts after which a seed address is removed as stale. */
    private static final int MAX_SEED_FAILURES = 12;

    private static final Logger log = Logger.getLogger(PeerMesh.class);

    private final Vertx vertx;
    private final Ticker ticker;
    private final DaemonDirectory directory;
    private final PeerListener listener;
    private final NetServer server;
    private final NetClient client;
    private final Map<SocketAddress, PeerLink> links = new HashMap<>();
    private final Set<SocketAddress> seeds = new HashSet<>();
    private final Map<String, InboundPeer> inbound = new HashMap<>();
    /** The daemons at the other ends of {@code inbound}, by their names. */
    private final Map<String, DaemonEntry> inboundEntries = new HashMap<>();

    private final List<PeerMessage> batch = new ArrayList<>();
    private final List<PeerMessage> inboundBatch = new ArrayList<>();
    private InboundLimits inboundLimits = InboundLimits.of(ConnectionLimits.DEFAULT);
    private boolean flushScheduled;
    private boolean closed;

    /** Creates the mesh of one daemon; no connection is opened yet. */
    public PeerMesh(Vertx vertx, Ticker ticker, DaemonDirectory directory, PeerListener listener) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.directory = directory;
        this.listener = listener;
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_MILLIS).setTcpNoDelay(true));
    }

    /** Sets the limits on connections that others open; to be called before {@link #start}. */
    public void limitInbound(ConnectionLimits limits) {
        inboundLimits = InboundLimits.of(limits);
    }

    /** Starts listening and pinging; fails if the peer port cannot be bound. */
    public Future<Void> start() {
        DaemonEntry self = directory.self();
        server.connectHandler(socket -> new InboundPeer(this, vertx, ticker, listener, socket, inboundLimits));
        vertx.setPeriodic(PING_MILLIS, timer -> tick());
        return server.listen(self.port(), self.host()).mapEmpty();
    }

    /** Connects to a seed address to learn the other members from the daemon there, if there is one. */
    public void addSeed(SocketAddress address) {
        if (!address.equals(directory.self().address())) {
            seeds.add(address);
            open(links.computeIfAbsent(address, PeerLink::new));
        }
    }

    /** Adds daemons that were read from the store. */
    public void addDaemons(List<DaemonEntry> daemons) {
        daemons.forEach(daemon -> directory.recordSeen(daemon, ticker.millis()));
        updateLinks();
    }

    /** Sends a message with the next batch on all connections that this daemon opened, to coordinators and seeds. */
    public void broadcast(PeerMessage message) {
        batch.add(message);
        scheduleFlush();
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            vertx.setTimer(BATCH_MILLIS + links.size() / CONNECTIONS_PER_BATCH_MILLI, timer -> flush());
        }
    }

    /** Sends a message with the next batch to all daemons that have connected to this one. */
    public void broadcastInbound(PeerMessage message) {
        inboundBatch.add(message);
        scheduleFlush();
    }

    /** Sends a message at once to those daemons that have connected to this one and that meet a condition. */
    public void sendInbound(PeerMessage message, Predicate<DaemonEntry> receivers) {
        Buffer frame = PeerCodec.encode(List.of(message));
        for (DaemonEntry daemon : List.copyOf(inboundEntries.values())) {
            if (receivers.test(daemon)) {
                inbound.get(daemon.name()).send(frame);
            }
        }
    }

    /**
     * Sends a message to all daemons that are connected: in a small fleet each daemon has a connection to each other
     * one, in a large one the coordinators pass on what is news to them.
     */
    @Override
    public void spread(PeerMessage message) {
        broadcast(message);
        if (!directory.usesFullMesh()) {
            broadcastInbound(message);
        }
    }

    /** Passes on a message of another daemon: in a large fleet, its sender is connected to the coordinators only. */
    public void passOn(PeerMessage message) {
        if (!directory.usesFullMesh()) {
            broadcastInbound(message);
        }
    }

    /** Sends a copy request to one connected daemon, chosen by {@code turn} modulo the number of open connections. */
    public void requestCopy(PeerMessage.CopyRequest request, int turn) {
        List<PeerLink> open = links.values().stream().filter(PeerLink::open).toList();
        if (!open.isEmpty()) {
            open.get(Math.floorMod(turn, open.size())).send(List.of(request));
        }
    }

    @Override
    public void send(String daemon, PeerMessage message) {
        Optional<PeerLink> link = link(daemon);
        if (link.isPresent()) {
            link.get().send(List.of(message));
        } else if (inbound.containsKey(daemon)) {
            inbound.get(daemon).send(List.of(message));
        }
    }

    /** Returns the first coordinator that is reachable; this daemon itself in a small fleet or if none is. */
    @Override
    public String decider() {
        if (!directory.usesFullMesh()) {
            long now = ticker.millis();
            for (DaemonEntry coordinator : directory.coordinators()) {
                if (coordinator.equals(directory.self())) {
                    break;
                }
                if (link(coordinator.name()).filter(l -> l.suspectUntil <= now).isPresent()) {
                    return coordinator.name();
                }
            }
        }
        return directory.self().name();
    }

    @Override
    public void suspect(String daemon) {
        link(daemon).ifPresent(link -> link.suspectUntil = ticker.millis() + SUSPECT_MILLIS);
    }

    /** Returns whether messages of another daemon arrive at present. */
    public boolean hears(String daemon) {
        return inbound.containsKey(daemon);
    }

    /** Returns the known daemons. */
    public DaemonDirectory directory() {
        return directory;
    }

    /** Announces the shutdown of this daemon and stops listening. */
    public void close() {
        broadcast(new PeerMessage.Bye());
        flush();
        closed = true;
        server.close();
    }

    private Optional<PeerLink> link(String daemon) {
        return links.values().stream()
                .filter(link -> link.open() && link.daemon.equals(daemon))
                .findFirst();
    }

    /** Opens connections to coordinators and seeds, and closes all others. */
    private void updateLinks() {
        Set<SocketAddress> wanted = new HashSet<>(seeds);
        directory.coordinators().forEach(coordinator -> wanted.add(coordinator.address()));
        wanted.remove(directory.self().address());
        for (PeerLink link : List.copyOf(links.values())) {
            if (!wanted.contains(link.address)) {
                links.remove(link.address);
                if (link.open()) {
                    link.socket.close();
                }
            }
        }
        wanted.forEach(address -> open(links.computeIfAbsent(address, PeerLink::new)));
    }

    /** Sends the batches; each is encoded once for all connections. */
    private void flush() {
        flushScheduled = false;
        if (!batch.isEmpty()) {
            Buffer frame = PeerCodec.encode(batch);
            batch.clear();
            links.values().forEach(link -> link.send(frame));
        }
        if (!inboundBatch.isEmpty()) {
            Buffer frame = PeerCodec.encode(inboundBatch);
            inboundBatch.clear();
            List.copyOf(inbound.values()).forEach(peer -> peer.send(frame));
        }
    }

    private void tick() {
        long now = ticker.millis();
        directory.expire(now);
        for (PeerLink link : new ArrayList<>(links.values())) {
            if (link.open() && now - link.lastReceivedAt > PEER_TIMEOUT_MILLIS) {
                LogEvent.of("peer-silent")
                        .with("address", link.address)
                        .with("silent_ms", now - link.lastReceivedAt)
                        .warn(log);
                link.socket.close();
                closed(link);
            }
            link.send(List.of(new PeerMessage.Ping()));
        }
        Map<DaemonEntry, Long> due = directory.takeDueAnnouncements(now);
        if (!due.isEmpty()) {
            broadcastInbound(members(due));
        }
        updateLinks();
    }

    private static PeerMessage.Members members(Map<DaemonEntry, Long> ages) {
        List<PeerMessage.Member> members = new ArrayList<>();
        ages.forEach((daemon, age) -> members.add(new PeerMessage.Member(daemon, age)));
        return new PeerMessage.Members(members);
    }

    private void open(PeerLink link) {
        boolean current = links.get(link.address) == link;
        if (closed || !current || link.open() || link.opening) {
            return;
        }
        link.opening = true;
        client.connect(link.address).onComplete(done -> {
            link.opening = false;
            if (done.failed()) {
                link.failures++;
                if (link.failures >= MAX_SEED_FAILURES) {
                    seeds.remove(link.address);
                }
                vertx.setTimer(link.reconnectDelayMillis(), timer -> open(link));
            } else {
                opened(link, done.result());
            }
        });
    }

    private void opened(PeerLink link, NetSocket socket) {
        link.opened(socket, ticker.millis());
        socket.handler(new FrameReader(message -> received(link, message), fault -> fault(socket, fault)));
        socket.closeHandler(gone -> {
            if (socket.equals(link.socket)) {
                closed(link);
            }
        });
        socket.exceptionHandler(failure -> socket.close());
        List<PeerMessage> first = new ArrayList<>();
        first.add(new PeerMessage.Hello(directory.self()));
        first.addAll(listener.initialMessages());
        link.send(first);
    }

    /** Handles a message on a connection that this daemon opened. */
    private void received(PeerLink link, PeerMessage message) {
        link.lastReceivedAt = ticker.millis();
        if (message instanceof PeerMessage.Hello hello) {
            link.daemon = hello.daemon().name();
            directory.recordSeen(hello.daemon(), link.lastReceivedAt);
        } else if (message instanceof PeerMessage.Members list) {
            mergeMembers(list);
        } else if (message instanceof PeerMessage.Ping ping) {
            peerAlive(link.daemon);
            if (ping.storeUnavailable()) {
                listener.onMessage(link.daemon, ping);
            }
        } else {
            listener.onMessage(link.daemon, message);
        }
    }

    private void mergeMembers(PeerMessage.Members list) {
        long now = ticker.millis();
        list.members().forEach(member -> directory.recordSeen(member.daemon(), now - member.ageMillis()));
        seeds.clear();
        updateLinks();
    }

    private void closed(PeerLink link) {
        if (link.socket != null) {
            link.socket = null;
            if (!link.daemon.isEmpty()) {
                listener.onUnreachable(link.daemon);
            }
            vertx.setTimer(link.reconnectDelayMillis(), timer -> open(link));
        }
    }

    private void fault(NetSocket socket, String reason) {
        LogEvent.of("peer-protocol")
                .with("address", socket.remoteAddress())
                .with("reason", reason)
                .warn(log);
        socket.close();
    }

    /** Handles the {@code Hello} of a daemon that has connected. */
    void inboundOpened(InboundPeer peer, DaemonEntry daemon) {
        inbound.put(daemon.name(), peer);
        inboundEntries.put(daemon.name(), daemon);
        directory.recordSeen(daemon, ticker.millis());
        List<PeerMessage> first = new ArrayList<>();
        first.add(new PeerMessage.Hello(directory.self()));
        first.add(members(directory.ages(ticker.millis())));
        first.addAll(listener.welcomeMessages());
        peer.send(first);
        updateLinks();
    }

    /** Records that a connected daemon sent a ping. */
    void peerAlive(String daemon) {
        directory.refresh(daemon, ticker.millis());
    }

    /** Handles the shutdown announcement of a connected daemon. */
    void peerStopping(String daemon) {
        directory.stopped(daemon, ticker.millis());
    }

    /** Removes a connection that another daemon opened and that has ended. */
    void inboundClosed(InboundPeer peer, String daemon) {
        if (inbound.remove(daemon, peer)) {
            inboundEntries.remove(daemon);
        }
    }
}
