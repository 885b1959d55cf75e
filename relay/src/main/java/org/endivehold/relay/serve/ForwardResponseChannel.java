package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerStream;

/** The response to a request that another daemon forwarded. */
final class ForwardResponseChannel implements ResponseChannel {
    private final PeerStream stream;
    private Runnable onClosed = () -> {};

    ForwardResponseChannel(PeerStream stream) {
        this.stream = stream;
    }

    @Override
    public void onClosed(Runnable action) {
        onClosed = action;
    }

    /** Tells that the other daemon has closed the connection. */
    void closed() {
        onClosed.run();
    }

    @Override
    public Future<Void> respond(int status, MultiMap headers, Buffer body) {
        stream.send(new PeerMessage.ForwardedHead(status, false, ForwardedHeaders.toMessage(headers)));
        stream.sendBytes(body);
        return stream.end(new PeerMessage.ForwardedEnd());
    }

    @Override
    public void beginStream(int status, MultiMap headers) {
        stream.send(new PeerMessage.ForwardedHead(status, true, ForwardedHeaders.toMessage(headers)));
    }

    @Override
    public void writeEvents(Buffer events) {
        stream.sendBytes(events);
    }

    @Override
    public void endStream() {
        stream.end(new PeerMessage.ForwardedEnd());
    }

    @Override
    public void breakOff() {
        stream.end(new PeerMessage.ForwardedFailure(502, ErrorType.UPSTREAM_BROKEN, 0));
    }

    @Override
    public void fail(int status, ErrorType type, double retryAfterMillis) {
        stream.end(new PeerMessage.ForwardedFailure(status, type, retryAfterMillis));
    }

    @Override
    public void fault(boolean begun) {
        stream.close();
    }

    @Override
    public boolean isFull() {
        return stream.isFull();
    }

    @Override
    public void onDrained(Runnable action) {
        stream.onDrained(action);
    }
}
