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
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.jboss.logging.Logger;

/**
 * Connections to all other daemons.
 *
 * <p>Each daemon opens one connection to every other and tells over it; it listens on the connections of the others. A
 * message is gathered with others for some milliseconds. Both sides ping, so a connection that went silent is noticed
 * and opened anew; whoever connects tells all of its running requests first, so nothing has to be kept for a daemon
 * that was away.
 */
public final class PeerMesh {
    /** How long messages are gathered before they are sent to a few daemons, in milliseconds. */
    private static final int GATHER_MILLIS = 8;
    /** Daemons for each further millisecond of gathering: the cost of sending grows with the fleet. */
    private static final int DAEMONS_PER_MILLI = 2;
    /** Longest time that messages are gathered, in milliseconds. */
    private static final int LONGEST_GATHER_MILLIS = 60;
    /** Pause between pings, in milliseconds. */
    private static final int PING_MILLIS = 700;
    /** Silence after which a connection is given up, in milliseconds: three pings. */
    static final int SILENCE_MILLIS = 2_200;
    /** Longest time to open a connection, in milliseconds. */
    private static final int CONNECT_MILLIS = 700;
    /** How long a daemon that is not reached still counts as one that may exist, in milliseconds. */
    private static final int REMEMBER_MILLIS = 30_000;

    private static final Logger log = Logger.getLogger(PeerMesh.class);

    private final Vertx vertx;
    private final Ticker ticker;
    private final PeerMessage.Hello self;
    private final PeerListener listener;
    private final NetServer server;
    private final NetClient client;
    private final Map<SocketAddress, PeerLink> links = new HashMap<>();
    private final Map<String, Long> daemons = new HashMap<>();
    private final List<PeerMessage> gathered = new ArrayList<>();
    private boolean flushing;
    private boolean closed;

    /** Creates the connections of one daemon. */
    public PeerMesh(Vertx vertx, Ticker ticker, PeerMessage.Hello self, PeerListener listener) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.self = self;
        this.listener = listener;
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_MILLIS).setTcpNoDelay(true));
    }

    /** Starts to listen and to ping. */
    public Future<Void> start() {
        server.connectHandler(this::accept);
        vertx.setPeriodic(PING_MILLIS, timer -> tick());
        return server.listen(self.port(), self.host()).mapEmpty();
    }

    /** Makes sure that a daemon at this address is connected; tries at once, also after failures. */
    public void connect(SocketAddress address) {
        SocketAddress own = SocketAddress.inetSocketAddress(self.port(), self.host());
        if (closed || address.equals(own)) {
            return;
        }
        PeerLink link = links.computeIfAbsent(address, PeerLink::new);
        link.failures = 0;
        open(link);
    }

    /** Tells all connected daemons. */
    public void tell(PeerMessage message) {
        gathered.add(message);
        if (!flushing) {
            flushing = true;
            int gather = GATHER_MILLIS + links.size() / DAEMONS_PER_MILLI;
            vertx.setTimer(Math.min(gather, LONGEST_GATHER_MILLIS), timer -> flush());
        }
    }

    /** Asks one connected daemon, a different one each time, for a newer copy of the store's items. */
    public void ask(PeerMessage.CopyWanted wanted, int turn) {
        List<PeerLink> open = links.values().stream().filter(PeerLink::open).toList();
        if (!open.isEmpty()) {
            open.get(Math.floorMod(turn, open.size())).send(List.of(wanted));
        }
    }

    /** Returns the names of the daemons that may exist, this one among them. */
    public Collection<String> daemons() {
        Set<String> names = new HashSet<>(daemons.keySet());
        names.add(self.daemon());
        return names;
    }

    /** Counts a daemon that is known from elsewhere. */
    public void remember(String daemon) {
        daemons.put(daemon, ticker.millis());
    }

    /** Tells all that this daemon stops, and closes. */
    public void close() {
        tell(new PeerMessage.Bye());
        flush();
        closed = true;
        server.close();
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
        daemons.values().removeIf(seen -> now - seen > REMEMBER_MILLIS);
    }

    private void open(PeerLink link) {
        boolean known = links.containsValue(link);
        if (closed || !known || link.open() || link.opening) {
            return;
        }
        link.opening = true;
        client.connect(link.address).onComplete(done -> {
            link.opening = false;
            if (done.failed()) {
                link.failures++;
                if (link.failures >= PeerLink.MAX_FAILURES) {
                    links.remove(link.address);
                    return;
                }
                vertx.setTimer(link.pauseMillis(), timer -> open(link));
                return;
            }
            NetSocket socket = done.result();
            link.opened(socket, ticker.millis());
            socket.handler(new FrameReader(
                    message -> {
                        link.heardAt = ticker.millis();
                        if (message instanceof PeerMessage.Copy) {
                            listener.told(link.address.toString(), message);
                        }
                    },
                    fault -> fault(socket, fault)));
            socket.closeHandler(gone -> closed(link));
            socket.exceptionHandler(failure -> socket.close());
            List<PeerMessage> first = new ArrayList<>();
            first.add(self);
            first.addAll(listener.introduction());
            link.send(first);
        });
    }

    private void closed(PeerLink link) {
        if (link.socket != null) {
            link.socket = null;
            vertx.setTimer(link.pauseMillis(), timer -> open(link));
        }
    }

    private void accept(NetSocket socket) {
        Inbound inbound = new Inbound(socket);
        socket.handler(new FrameReader(inbound::told, fault -> fault(socket, fault)));
        socket.closeHandler(gone -> inbound.gone());
        socket.exceptionHandler(failure -> socket.close());
    }

    private void fault(NetSocket socket, String reason) {
        LogEvent.of("peer-protocol")
                .with("address", socket.remoteAddress())
                .with("reason", reason)
                .warn(log);
        socket.close();
    }

    /** A connection that another daemon opened. */
    private final class Inbound {
        private final NetSocket socket;
        private final long watchdog;
        private String daemon = "";
        private long heardAt = ticker.millis();

        Inbound(NetSocket socket) {
            this.socket = socket;
            watchdog = vertx.setPeriodic(PING_MILLIS, timer -> {
                if (ticker.millis() - heardAt > SILENCE_MILLIS) {
                    socket.close();
                    gone();
                }
            });
        }

        void told(PeerMessage message) {
            heardAt = ticker.millis();
            if (!daemon.isEmpty()) {
                daemons.put(daemon, heardAt);
            }
            if (message instanceof PeerMessage.Hello hello) {
                daemon = hello.daemon();
                LogEvent.of("peer-connected")
                        .with("peer", daemon)
                        .with("address", hello.host() + ":" + hello.port())
                        .info(log);
                daemons.put(daemon, heardAt);
                connect(SocketAddress.inetSocketAddress(hello.port(), hello.host()));
                listener.told(daemon, message);
            } else if (message instanceof PeerMessage.Ping ping) {
                socket.write(PeerCodec.encode(List.of(ping)));
            } else if (message instanceof PeerMessage.CopyWanted wanted) {
                listener.copy(wanted.prefix(), wanted.revision())
                        .ifPresent(copy -> socket.write(PeerCodec.encode(List.of(copy))));
            } else if (message instanceof PeerMessage.Bye) {
                daemons.remove(daemon);
                gone();
            } else {
                listener.told(daemon, message);
            }
        }

        void gone() {
            vertx.cancelTimer(watchdog);
            if (!daemon.isEmpty()) {
                LogEvent.of("peer-lost").with("peer", daemon).info(log);
                listener.lost(daemon);
                daemon = "";
            }
        }
    }
}
