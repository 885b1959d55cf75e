package org.endivehold.relay.peer;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.endivehold.misc.LogEvent;
import org.jboss.logging.Logger;

/**
 * A connection between two daemons that carries one forwarded request and its response, so that neither waits behind
 * other messages and the end of the connection concerns this request alone.
 */
public final class PeerStream {
    /** Size of the write queue from which the other side counts as slow, in bytes. */
    private static final int WRITE_QUEUE_BYTES = 1 << 18;

    /** Largest part of a body that is sent in one message, in bytes. */
    private static final int MAX_PART_BYTES = 1 << 18;

    private static final Logger log = Logger.getLogger(PeerStream.class);

    private final NetSocket socket;
    private Consumer<PeerMessage> receiver = message -> {};
    private Runnable onClosed = () -> {};
    private boolean closed;

    PeerStream(NetSocket socket) {
        this.socket = socket;
        socket.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
        socket.handler(new FrameReader(this::receive, this::fault));
        socket.closeHandler(gone -> closed());
        socket.exceptionHandler(failure -> socket.close());
    }

    /** Opens a stream to the peer address of a daemon; the first message has to be a {@code ForwardOffer}. */
    public static Future<PeerStream> open(NetClient client, SocketAddress address) {
        return client.connect(address).map(PeerStream::new);
    }

    /**
     * Sets the actions for each message and for the end of the connection, whichever side ends it. If it has ended
     * before, its action runs at once.
     */
    public void handle(Consumer<PeerMessage> onMessage, Runnable onEnd) {
        receiver = onMessage;
        onClosed = onEnd;
        if (closed) {
            onEnd.run();
        }
    }

    /** Sends a message; has no effect once the connection has ended. */
    public void send(PeerMessage message) {
        if (!closed) {
            socket.write(PeerCodec.encode(List.of(message)));
        }
    }

    /** Sends a body, in as many messages as it takes. */
    public void sendBytes(Buffer body) {
        for (int at = 0; at < body.length(); at += MAX_PART_BYTES) {
            send(new PeerMessage.ForwardedBytes(body.getBuffer(at, Math.min(body.length(), at + MAX_PART_BYTES))));
        }
    }

    /** Sends a last message and closes the connection after it; the result completes when it has been written. */
    public Future<Void> end(PeerMessage message) {
        return closed ? Future.succeededFuture() : socket.end(PeerCodec.encode(List.of(message)));
    }

    /** Closes the connection. */
    public void close() {
        socket.close();
    }

    /** Stops reading until {@link #resume}, so that the other side's write queue fills. */
    public void pause() {
        socket.pause();
    }

    /** Reads again. */
    public void resume() {
        socket.resume();
    }

    /** Returns whether the other side reads more slowly than this one writes. */
    public boolean isFull() {
        return socket.writeQueueFull();
    }

    /** Sets the action that runs once when the other side has read what was written. */
    public void onDrained(Runnable action) {
        socket.drainHandler(drained -> action.run());
    }

    /** Handles a message. If that throws, the request cannot go on, and the other side learns of it by the end. */
    private void receive(PeerMessage message) {
        try {
            receiver.accept(message);
        } catch (RuntimeException e) {
            receiver = ignored -> {};
            fault("not handled: " + e);
        }
    }

    private void closed() {
        closed = true;
        onClosed.run();
    }

    private void fault(String reason) {
        LogEvent.of("peer-protocol")
                .with("address", socket.remoteAddress())
                .with("reason", reason)
                .warn(log);
        socket.close();
    }
}
