package org.endivehold.relay.peer;

import io.netty.channel.ChannelFuture;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.List;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.connection.OpenConnections;
import org.endivehold.relay.limit.HeldBytes;
import org.jboss.logging.Logger;

/**
 * A connection that another daemon opened to send its jobs and requests; answers are sent on it as well. If its first
 * message offers a request to be forwarded, the connection becomes a {@link PeerStream}.
 */
final class InboundPeer {
    /** Interval between checks for a timeout of the other side, in milliseconds. */
    private static final int WATCHDOG_INTERVAL_MILLIS = 700;

    private static final Logger log = Logger.getLogger(InboundPeer.class);

    private final PeerMesh mesh;
    private final Vertx vertx;
    private final Ticker ticker;
    private final PeerListener listener;
    private final NetSocket socket;
    private final FrameReader reader;
    private final HeldBytes.Share frames;
    private final OpenConnections.Entry entry;
    private final long watchdog;
    private String daemon = "";
    private long lastReceivedAt;

    InboundPeer(
            PeerMesh mesh, Vertx vertx, Ticker ticker, PeerListener listener, NetSocket socket, InboundLimits limits) {
        this.mesh = mesh;
        this.vertx = vertx;
        this.ticker = ticker;
        this.listener = listener;
        this.socket = socket;
        lastReceivedAt = ticker.millis();
        socket.setWriteQueueMaxSize(PeerLink.MAX_WRITE_QUEUE_BYTES);
        frames = limits.frames().open(socket::close);
        entry = limits.open().open(socket.remoteAddress().host(), (double) ticker.millis(), socket::close);
        reader = new FrameReader(this::received, this::fault);
        socket.handler(this::read);
        ChannelFuture closing =
                ((NetSocketInternal) socket).channelHandlerContext().channel().closeFuture();
        closing.addListener(closed -> forget());
        socket.closeHandler(closed -> closed());
        socket.exceptionHandler(failure -> socket.close());
        watchdog = vertx.setPeriodic(WATCHDOG_INTERVAL_MILLIS, timer -> {
            if (ticker.millis() - lastReceivedAt > PeerMesh.PEER_TIMEOUT_MILLIS) {
                socket.close();
                closed();
            }
        });
    }

    void send(List<PeerMessage> messages) {
        send(PeerCodec.encode(messages));
    }

    /** Sends a frame; closes the connection instead if the other side does not read. */
    void send(Buffer frame) {
        if (socket.writeQueueFull()) {
            socket.close();
            return;
        }
        socket.write(frame);
    }

    private void read(Buffer bytes) {
        reader.handle(bytes);
        frames.set(reader.pendingBytes());
    }

    private void forget() {
        frames.close();
        entry.close();
    }

    private void received(PeerMessage message) {
        lastReceivedAt = ticker.millis();
        if (message instanceof PeerMessage.Hello hello) {
            daemon = hello.daemon().name();
            frames.pin();
            entry.use(OpenConnections.Use.SERVING, (double) ticker.millis());
            LogEvent.of("peer-connected")
                    .with("peer", daemon)
                    .with(
                            "address",
                            hello.daemon().host() + ":" + hello.daemon().port())
                    .info(log);
            mesh.inboundOpened(this, hello.daemon());
        } else if (message instanceof PeerMessage.ForwardOffer offer && daemon.isEmpty()) {
            vertx.cancelTimer(watchdog);
            entry.use(OpenConnections.Use.SERVING, (double) ticker.millis());
            listener.onForwardOffer(offer, new PeerStream(socket));
        } else if (message instanceof PeerMessage.Ping) {
            mesh.peerAlive(daemon);
            send(List.of(listener.pingAnswer()));
        } else if (message instanceof PeerMessage.CopyRequest request) {
            listener.copy(request.prefix(), request.position()).ifPresent(copy -> send(List.of(copy)));
        } else if (message instanceof PeerMessage.Bye) {
            mesh.peerStopping(daemon);
            closed();
        } else {
            listener.onMessage(daemon, message);
        }
    }

    private void fault(String reason) {
        LogEvent.of("peer-protocol")
                .with("address", socket.remoteAddress())
                .with("reason", reason)
                .warn(log);
        socket.close();
    }

    private void closed() {
        vertx.cancelTimer(watchdog);
        if (!daemon.isEmpty()) {
            LogEvent.of("peer-lost").with("peer", daemon).info(log);
            mesh.inboundClosed(this, daemon);
            listener.onDisconnected(daemon);
            daemon = "";
        }
    }
}
