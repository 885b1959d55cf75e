package org.endivehold.relay.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.List;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.jboss.logging.Logger;

/** A connection that another daemon opened: it tells of its work and asks, and is answered here. */
final class InboundPeer {
    /** Pause between looks whether the other side is silent, in milliseconds. */
    private static final int LOOK_MILLIS = 700;

    private static final Logger log = Logger.getLogger(InboundPeer.class);

    private final PeerMesh mesh;
    private final Vertx vertx;
    private final Ticker ticker;
    private final PeerListener listener;
    private final NetSocket socket;
    private final long watchdog;
    private String daemon = "";
    private long heardAt;

    InboundPeer(PeerMesh mesh, Vertx vertx, Ticker ticker, PeerListener listener, NetSocket socket) {
        this.mesh = mesh;
        this.vertx = vertx;
        this.ticker = ticker;
        this.listener = listener;
        this.socket = socket;
        heardAt = ticker.millis();
        socket.handler(new FrameReader(this::told, this::fault));
        socket.closeHandler(closed -> gone());
        socket.exceptionHandler(failure -> socket.close());
        watchdog = vertx.setPeriodic(LOOK_MILLIS, timer -> {
            if (ticker.millis() - heardAt > PeerMesh.SILENCE_MILLIS) {
                socket.close();
                gone();
            }
        });
    }

    void send(List<PeerMessage> messages) {
        socket.write(PeerCodec.encode(messages));
    }

    private void told(PeerMessage message) {
        heardAt = ticker.millis();
        if (message instanceof PeerMessage.Hello hello) {
            daemon = hello.daemon().name();
            LogEvent.of("peer-connected")
                    .with("peer", daemon)
                    .with(
                            "address",
                            hello.daemon().host() + ":" + hello.daemon().port())
                    .info(log);
            mesh.joined(this, hello.daemon());
        } else if (message instanceof PeerMessage.Ping ping) {
            mesh.alive(daemon);
            send(List.of(ping));
        } else if (message instanceof PeerMessage.CopyWanted wanted) {
            listener.copy(wanted.prefix(), wanted.revision()).ifPresent(copy -> send(List.of(copy)));
        } else if (message instanceof PeerMessage.Bye) {
            mesh.stopped(daemon);
            gone();
        } else {
            listener.told(daemon, message);
        }
    }

    private void fault(String reason) {
        LogEvent.of("peer-protocol")
                .with("address", socket.remoteAddress())
                .with("reason", reason)
                .warn(log);
        socket.close();
    }

    private void gone() {
        vertx.cancelTimer(watchdog);
        if (!daemon.isEmpty()) {
            LogEvent.of("peer-lost").with("peer", daemon).info(log);
            mesh.left(this, daemon);
            listener.lost(daemon);
            daemon = "";
        }
    }
}
