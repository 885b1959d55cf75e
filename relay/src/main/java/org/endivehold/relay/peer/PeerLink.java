package org.endivehold.relay.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.List;

/** The outbound connection of this daemon to one other daemon. */
final class PeerLink {
    /** Delay before the first reconnect attempt, in milliseconds; it doubles with each failure. */
    private static final int MIN_RECONNECT_DELAY_MILLIS = 200;
    /** Longest delay between reconnect attempts, in milliseconds. */
    private static final int MAX_RECONNECT_DELAY_MILLIS = 2_000;
    /** Size of the write queue, in bytes. If it is full, the message is dropped and the connection is reopened. */
    static final int MAX_WRITE_QUEUE_BYTES = 1 << 20;

    final SocketAddress address;
    /** Name of the daemon at the other end; empty until its {@code Hello} arrives. */
    String daemon = "";

    NetSocket socket;
    long lastReceivedAt;
    /** Time until which the daemon at the other end gets no placement requests because it did not answer in time. */
    long suspectUntil;

    int failures;
    boolean opening;

    PeerLink(SocketAddress address) {
        this.address = address;
    }

    boolean open() {
        return socket != null;
    }

    void opened(NetSocket opened, long now) {
        socket = opened;
        socket.setWriteQueueMaxSize(MAX_WRITE_QUEUE_BYTES);
        lastReceivedAt = now;
        failures = 0;
    }

    int reconnectDelayMillis() {
        return Math.min(MAX_RECONNECT_DELAY_MILLIS, MIN_RECONNECT_DELAY_MILLIS << Math.min(failures, 8));
    }

    void send(List<PeerMessage> messages) {
        if (open()) {
            send(PeerCodec.encode(messages));
        }
    }

    void send(Buffer frame) {
        if (!open()) {
            return;
        }
        if (socket.writeQueueFull()) {
            socket.close();
            return;
        }
        socket.write(frame);
    }
}
