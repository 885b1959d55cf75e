package org.endivehold.relay.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.List;

/** The connection that this daemon opens to one other. */
final class PeerLink {
    /** First pause after a failed try, in milliseconds. */
    private static final int FIRST_PAUSE_MILLIS = 200;
    /** Longest pause after failed tries, in milliseconds. */
    private static final int LONGEST_PAUSE_MILLIS = 2_000;
    /** Bytes that may wait to be sent; what exceeds them is dropped and the connection opened anew. */
    private static final int MAX_WAITING_BYTES = 1 << 20;

    final SocketAddress address;
    /** Name of the daemon at the other end; empty until it has said so. */
    String daemon = "";

    NetSocket socket;
    long heardAt;
    /** Time until which this daemon is not asked, since it did not answer in time. */
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
        socket.setWriteQueueMaxSize(MAX_WAITING_BYTES);
        heardAt = now;
        failures = 0;
    }

    int pauseMillis() {
        return Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, 8));
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
