package org.endivehold.daemon.peer;

import io.vertx.core.Future;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.wire.Hello;
import org.endivehold.wire.Message;
import org.endivehold.wire.MessageCodec;

/**
 * Messages between daemons over TCP. Each daemon dials every peer that it has something to send to, so a pair of
 * daemons has up to two connections; a request is sent on the connection that the sender dialed and answered on the
 * same one.
 *
 * <p>A peer that dials this daemon gives its own address in {@link Hello}, so a new daemon can be reached before it
 * appears in the member list.
 */
public final class TcpPeerTransport implements Service, PeerTransport {
    private static final int MAX_PEERS = 4_096;
    private static final int MAX_ACCEPTED_CONNECTIONS = 8_192;

    private final DaemonContext context;
    private final MessageCodec codec = new MessageCodec();
    private final PeerHandlers handlers = new PeerHandlers();
    private final Map<HostId, PeerLink> links = new HashMap<>();
    private final Set<PeerConnection> accepted = new HashSet<>();
    private NetServer server;
    private NetClient client;

    /**
     * Creates the service.
     *
     * @param context the daemon's context
     */
    public TcpPeerTransport(DaemonContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        client = context.vertx()
                .createNetClient(
                        PeerSocketOptions.clientOptions(context.settings().peers()));
        server = context.vertx()
                .createNetServer(
                        PeerSocketOptions.serverOptions(context.settings().peers()));
        server.connectHandler(this::accept);
        return server.listen().mapEmpty();
    }

    @Override
    public Future<Void> stop() {
        links.values().forEach(PeerLink::close);
        links.clear();
        new ArrayList<>(accepted).forEach(PeerConnection::close);
        return server.close().eventually(client::close);
    }

    /**
     * Returns the port that peers connect to.
     *
     * @return the TCP port in use, also if the settings let the system choose one
     */
    public int port() {
        return server.actualPort();
    }

    /**
     * Returns the peers to which a dialed connection is open.
     *
     * @return their hosts, sorted
     */
    public List<HostId> connectedPeers() {
        return links.entrySet().stream()
                .filter(e -> e.getValue().isOpen())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    @Override
    public void setAddress(HostId peer, String address, int port) {
        PeerLink link = links.get(peer);
        if (link == null && links.size() < MAX_PEERS) {
            Backoff backoff = new Backoff(context.random());
            link = new PeerLink(peer, this::dial, context.vertx(), context.ticker(), context.errors(), backoff);
            links.put(peer, link);
        }
        if (link != null) {
            link.address(new PeerLink.PeerAddress(address, port));
        }
    }

    @Override
    public void send(HostId peer, Message message) {
        PeerLink link = links.get(peer);
        if (link != null) {
            link.send(message);
        }
    }

    @Override
    public Future<Message> request(HostId peer, Message message, long timeoutMillis) {
        PeerLink link = links.get(peer);
        return link == null
                ? Future.failedFuture(new EndiveholdException(ErrorType.PEER_UNREACHABLE, peer))
                : link.request(message, timeoutMillis);
    }

    @Override
    public <T extends Message> void setHandler(
            Class<T> type, BiFunction<HostId, T, Future<? extends Message>> handler) {
        handlers.put(type, handler);
    }

    private Future<PeerConnection> dial(PeerLink.PeerAddress target, PeerConnection.Listener listener) {
        return client.connect(target.port(), target.address()).compose(socket -> {
            PeerConnection connection = newConnection(socket, listener);
            try {
                connection.write(0, ownHello());
            } catch (EndiveholdException e) {
                connection.close();
                return Future.failedFuture(e);
            }
            return Future.succeededFuture(connection);
        });
    }

    private void accept(NetSocket socket) {
        if (accepted.size() >= MAX_ACCEPTED_CONNECTIONS) {
            socket.close();
            return;
        }
        accepted.add(newConnection(socket, new Accepted()));
    }

    private PeerConnection newConnection(NetSocket socket, PeerConnection.Listener listener) {
        int maxFrameBytes = context.settings().peers().maxFrameBytes();
        return new PeerConnection(
                socket, codec, maxFrameBytes, listener, e -> context.errors().report("peer", e));
    }

    private Hello ownHello() {
        return new Hello(
                context.settings().host(),
                context.incarnation(),
                context.settings().zone(),
                context.settings().peers().address(),
                port());
    }

    /** Handles an accepted connection: answers requests on the connection on which they arrived. */
    private final class Accepted implements PeerConnection.Listener {
        @Override
        public void opened(PeerConnection connection, Hello hello) throws EndiveholdException {
            connection.write(0, ownHello());
            setAddress(hello.host(), hello.address(), hello.port());
            PeerLink link = links.get(hello.host());
            if (link != null) {
                link.resetBackoff();
            }
        }

        @Override
        public void received(PeerConnection connection, int correlation, Message message) {
            Future<Message> result = handlers.dispatch(connection.hello().host(), message);
            if (correlation <= 0) {
                result.onFailure(e -> context.errors().report("peer", e));
                return;
            }
            result.onComplete(done -> answer(
                    connection, correlation, done.failed() ? PeerFailures.toMessage(done.cause()) : done.result()));
        }

        @Override
        public void closed(PeerConnection connection) {
            accepted.remove(connection);
        }

        private void answer(PeerConnection connection, int correlation, Message message) {
            if (message == null) {
                return;
            }
            try {
                connection.write(-correlation, message);
            } catch (EndiveholdException e) {
                context.errors().report("peer", e);
            }
        }
    }
}
