package org.endivehold.daemon.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.wire.Frame;
import org.endivehold.wire.FrameDecoder;
import org.endivehold.wire.Hello;
import org.endivehold.wire.Message;
import org.endivehold.wire.MessageCodec;

/**
 * One TCP connection that carries frames in both directions, with {@link Hello} first. A protocol violation closes this
 * connection only.
 */
final class PeerConnection {
    /** Maximum number of bytes waiting to be sent to a slow peer; the connection is closed if it is exceeded. */
    private static final int MAX_UNSENT_BYTES = 16 * 1024 * 1024;

    private final NetSocket socket;
    private final MessageCodec codec;
    private final FrameDecoder decoder;
    private final Listener listener;
    private final Consumer<EndiveholdException> failureListener;
    private long unsentBytes;
    private Hello hello;
    private boolean closed;

    /** Receives the events of a connection. */
    interface Listener {
        /** Called when the peer's hello has arrived; throws to refuse the peer. */
        void opened(PeerConnection connection, Hello hello) throws EndiveholdException;

        /** Called for each message after the hello; the correlation is that of {@link Frame}. */
        void received(PeerConnection connection, int correlation, Message message);

        /** Called once when the connection is closed by either side. */
        void closed(PeerConnection connection);
    }

    PeerConnection(
            NetSocket socket,
            MessageCodec codec,
            int maxFrameBytes,
            Listener listener,
            Consumer<EndiveholdException> failureListener) {
        this.socket = socket;
        this.codec = codec;
        this.decoder = new FrameDecoder(String.valueOf(socket.remoteAddress()), maxFrameBytes);
        this.listener = listener;
        this.failureListener = failureListener;
        socket.handler(this::handleBytes);
        socket.exceptionHandler(e -> close());
        socket.closeHandler(done -> notifyClosed());
    }

    /** Returns the peer's hello, or null if it has not arrived yet. */
    Hello hello() {
        return hello;
    }

    /**
     * Writes a message.
     *
     * @param correlation see {@link Frame}
     * @param message the message
     * @throws EndiveholdException if it cannot be encoded, if the connection is closed, or if the peer reads too slowly
     */
    void write(int correlation, Message message) throws EndiveholdException {
        byte[] frame = codec.encode(correlation, message);
        if (closed || unsentBytes + frame.length > MAX_UNSENT_BYTES) {
            close();
            throw new EndiveholdException(ErrorType.PEER_UNREACHABLE, socket.remoteAddress());
        }
        unsentBytes += frame.length;
        socket.write(Buffer.buffer(frame)).onComplete(done -> unsentBytes -= frame.length);
    }

    void close() {
        socket.close();
        notifyClosed();
    }

    private void notifyClosed() {
        if (!closed) {
            closed = true;
            listener.closed(this);
        }
    }

    private void handleBytes(Buffer chunk) {
        try {
            for (Frame frame : decoder.feed(chunk.getBytes())) {
                if (closed) {
                    return;
                }
                handleFrame(frame);
            }
        } catch (EndiveholdException e) {
            failureListener.accept(e);
            close();
        }
    }

    private void handleFrame(Frame frame) throws EndiveholdException {
        String peer = hello == null
                ? String.valueOf(socket.remoteAddress())
                : hello.host().value();
        Message message = codec.decode(peer, frame);
        if (hello != null) {
            listener.received(this, frame.correlation(), message);
        } else if (message instanceof Hello first && first.isComplete()) {
            hello = first;
            listener.opened(this, first);
        } else {
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "no valid hello received first");
        }
    }
}
