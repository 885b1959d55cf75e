package org.endivehold.relay.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
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
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.schedule.SchedulerPeers;
import org.jboss.logging.Logger;

/**
 * Connections between daemons.
 *
 * <p>Each daemon opens one connection to every daemon that keeps the account of engines ({@link DaemonDirectory}),
 * tells of its work over it and gets answers on it. What is told is gathered for some milliseconds. Both sides ping, so
 * a connection that went silent is noticed and opened anew; whoever connects tells all of its running requests first,
 * so nothing has to be kept for a daemon that was away.
 */
public final class PeerMesh implements SchedulerPeers {
    /** How long messages are gathered before they are sent to a few daemons, in milliseconds. */
    private static final int GATHER_MILLIS = 8;
    /** Daemons for each further millisecond of gathering: the cost of sending grows with them. */
    private static final int DAEMONS_PER_MILLI = 2;
    /** Pause between pings, in milliseconds. */
    private static final int PING_MILLIS = 700;
    /** Silence after which a connection is given up, in milliseconds: three pings. */
    static final int SILENCE_MILLIS = 2_200;
    /** Longest time to open a connection, in milliseconds. */
    private static final int CONNECT_MILLIS = 700;
    /** How long a daemon that did not answer in time is not asked, in milliseconds. */
    private static final int SUSPECT_MILLIS = 1_000;
    /** Failed tries after which an address that no daemon is known at is forgotten: a stale seed. */
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
    private final List<PeerMessage> gathered = new ArrayList<>();
    private boolean flushing;
    private boolean closed;

    /** Creates the connections of one daemon. */
    public PeerMesh(Vertx vertx, Ticker ticker, DaemonDirectory directory, PeerListener listener) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.directory = directory;
        this.listener = listener;
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_MILLIS).setTcpNoDelay(true));
    }

    /** Starts to listen and to ping. */
    public Future<Void> start() {
        DaemonEntry self = directory.self();
        server.connectHandler(socket -> new InboundPeer(this, vertx, ticker, listener, socket));
        vertx.setPeriodic(PING_MILLIS, timer -> tick());
        return server.listen(self.port(), self.host()).mapEmpty();
    }

    /** Asks the daemon at an address, if there is one, who else exists. */
    public void seed(SocketAddress address) {
        if (!address.equals(directory.self().address())) {
            seeds.add(address);
            open(links.computeIfAbsent(address, PeerLink::new));
        }
    }

    /** Takes note of daemons that were found in the store. */
    public void found(List<DaemonEntry> daemons) {
        daemons.forEach(daemon -> directory.heard(daemon, ticker.millis()));
        retarget();
    }

    /** Tells all daemons that keep the account. */
    public void tell(PeerMessage message) {
        gathered.add(message);
        if (!flushing) {
            flushing = true;
            vertx.setTimer(GATHER_MILLIS + links.size() / DAEMONS_PER_MILLI, timer -> flush());
        }
    }

    /** Tells all daemons that have connected to this one. */
    public void tellConnected(PeerMessage message) {
        inbound.values().forEach(peer -> peer.send(List.of(message)));
    }

    /** Asks one connected daemon, a different one each time, for a newer copy of the store's items. */
    public void ask(PeerMessage.CopyWanted wanted, int turn) {
        List<PeerLink> open = links.values().stream().filter(PeerLink::open).toList();
        if (!open.isEmpty()) {
            open.get(Math.floorMod(turn, open.size())).send(List.of(wanted));
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

    /** Returns the first keeper that is reached; this daemon itself in a small fleet, or if none is. */
    @Override
    public String decider() {
        if (!directory.small()) {
            long now = ticker.millis();
            for (DaemonEntry keeper : directory.keepers()) {
                if (keeper.equals(directory.self())) {
                    break;
                }
                if (link(keeper.name()).filter(l -> l.suspectUntil <= now).isPresent()) {
                    return keeper.name();
                }
            }
        }
        return directory.self().name();
    }

    @Override
    public void suspect(String daemon) {
        link(daemon).ifPresent(link -> link.suspectUntil = ticker.millis() + SUSPECT_MILLIS);
    }

    /** Returns the daemons that are known. */
    public DaemonDirectory directory() {
        return directory;
    }

    /** Tells all that this daemon stops, and closes. */
    public void close() {
        tell(new PeerMessage.Bye());
        flush();
        closed = true;
        server.close();
    }

    private Optional<PeerLink> link(String daemon) {
        return links.values().stream()
                .filter(link -> link.open() && link.daemon.equals(daemon))
                .findFirst();
    }

    /** Opens connections to the daemons that keep the account, and closes those to others. */
    private void retarget() {
        Set<SocketAddress> wanted = new HashSet<>(seeds);
        directory.keepers().forEach(keeper -> wanted.add(keeper.address()));
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

    private void flush() {
        flushing = false;
        if (gathered.isEmpty()) {
            return;
        }
        var frame = PeerCodec.encode(gathered);
        gathered.clear();
        for (PeerLink link : links.values()) {
            link.send(frame);
        }
    }

    private void tick() {
        long now = ticker.millis();
        directory.expire(now);
        for (PeerLink link : new ArrayList<>(links.values())) {
            if (link.open() && now - link.heardAt > SILENCE_MILLIS) {
                LogEvent.of("peer-silent")
                        .with("address", link.address)
                        .with("silent_ms", now - link.heardAt)
                        .warn(log);
                link.socket.close();
                closed(link);
            }
            link.send(List.of(new PeerMessage.Ping()));
        }
        if (directory.tellAgain(now)) {
            tellConnected(members());
        }
        retarget();
    }

    private PeerMessage.Members members() {
        List<PeerMessage.Member> members = new ArrayList<>();
        directory.ages(ticker.millis()).forEach((daemon, age) -> members.add(new PeerMessage.Member(daemon, age)));
        return new PeerMessage.Members(members);
    }

    private void open(PeerLink link) {
        boolean known = links.get(link.address) == link;
        if (closed || !known || link.open() || link.opening) {
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
                vertx.setTimer(link.pauseMillis(), timer -> open(link));
            } else {
                opened(link, done.result());
            }
        });
    }

    private void opened(PeerLink link, NetSocket socket) {
        link.opened(socket, ticker.millis());
        socket.handler(new FrameReader(message -> answered(link, message), fault -> fault(socket, fault)));
        socket.closeHandler(gone -> {
            if (socket.equals(link.socket)) {
                closed(link);
            }
        });
        socket.exceptionHandler(failure -> socket.close());
        List<PeerMessage> first = new ArrayList<>();
        first.add(new PeerMessage.Hello(directory.self()));
        first.addAll(listener.introduction());
        link.send(first);
    }

    /** Takes what a daemon said on the connection that this one opened. */
    private void answered(PeerLink link, PeerMessage message) {
        link.heardAt = ticker.millis();
        if (message instanceof PeerMessage.Hello hello) {
            link.daemon = hello.daemon().name();
            directory.heard(hello.daemon(), link.heardAt);
        } else if (message instanceof PeerMessage.Members list) {
            members(list);
        } else if (message instanceof PeerMessage.Ping) {
            alive(link.daemon);
        } else {
            listener.told(link.daemon, message);
        }
    }

    private void members(PeerMessage.Members list) {
        long now = ticker.millis();
        list.members().forEach(member -> directory.heard(member.daemon(), now - member.ageMillis()));
        seeds.clear();
        retarget();
    }

    private void closed(PeerLink link) {
        if (link.socket != null) {
            link.socket = null;
            if (!link.daemon.isEmpty()) {
                listener.unreachable(link.daemon);
            }
            vertx.setTimer(link.pauseMillis(), timer -> open(link));
        }
    }

    private void fault(NetSocket socket, String reason) {
        LogEvent.of("peer-protocol")
                .with("address", socket.remoteAddress())
                .with("reason", reason)
                .warn(log);
        socket.close();
    }

    /** A daemon has connected and said who it is. */
    void joined(InboundPeer peer, DaemonEntry daemon) {
        inbound.put(daemon.name(), peer);
        directory.heard(daemon, ticker.millis());
        peer.send(List.of(new PeerMessage.Hello(directory.self()), members()));
        retarget();
    }

    /** A connected daemon was heard. */
    void alive(String daemon) {
        directory.heardAgain(daemon, ticker.millis());
    }

    /** A connected daemon says that it stops. */
    void stopped(String daemon) {
        directory.stopped(daemon, ticker.millis());
    }

    /** A connection that another daemon opened has ended. */
    void left(InboundPeer peer, String daemon) {
        inbound.remove(daemon, peer);
    }
}
