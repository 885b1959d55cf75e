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
 * One TCP connection: frames in, frames out, {@link Hello} first. Whatever violates the protocol closes this connection
 * and nothing else.
 */
final class PeerConnection {
    /** Most bytes that wait for a slow peer before the connection is given up. */
    private static final int MAX_UNSENT_BYTES = 16 * 1024 * 1024;

    private final NetSocket socket;
    private final MessageCodec codec;
    private final FrameDecoder decoder;
    private final Listener listener;
    private final Consumer<EndiveholdException> failures;
    private long unsentBytes;
    private Hello hello;
    private boolean closed;

    /** Is told what arrives on a connection. */
    interface Listener {
        /** The peer has introduced itself; throws to refuse it. */
        void opened(PeerConnection connection, Hello hello) throws EndiveholdException;

        /** A message arrived. */
        void received(PeerConnection connection, int correlation, Message message);

        /** The connection is gone. */
        void closed(PeerConnection connection);
    }

    PeerConnection(
            NetSocket socket,
            MessageCodec codec,
            int maxFrameBytes,
            Listener listener,
            Consumer<EndiveholdException> failures) {
        this.socket = socket;
        this.codec = codec;
        this.decoder = new FrameDecoder(String.valueOf(socket.remoteAddress()), maxFrameBytes);
        this.listener = listener;
        this.failures = failures;
        socket.handler(this::bytes);
        socket.exceptionHandler(e -> close());
        socket.closeHandler(done -> ended());
    }

    /** Returns how the peer introduced itself, or null before that. */
    Hello hello() {
        return hello;
    }

    /**
     * Writes a message.
     *
     * @param correlation see {@link Frame}
     * @param message the message
     * @throws EndiveholdException if it cannot be encoded, or the peer reads too slowly
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
        ended();
    }

    private void ended() {
        if (!closed) {
            closed = true;
            listener.closed(this);
        }
    }

    private void bytes(Buffer chunk) {
        try {
            for (Frame frame : decoder.feed(chunk.getBytes())) {
                if (closed) {
                    return;
                }
                frame(frame);
            }
        } catch (EndiveholdException e) {
            failures.accept(e);
            close();
        }
    }

    private void frame(Frame frame) throws EndiveholdException {
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
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "no hello");
        }
    }
}
