package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
        stream.send(new PeerMessage.ForwardedHead(status, false, list(headers)));
        stream.sendBytes(body);
        return stream.end(new PeerMessage.ForwardedEnd());
    }

    @Override
    public void beginStream(int status, MultiMap headers) {
        stream.send(new PeerMessage.ForwardedHead(status, true, list(headers)));
    }

    private static List<PeerMessage.Header> list(MultiMap headers) {
        List<PeerMessage.Header> list = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            list.add(new PeerMessage.Header(header.getKey(), header.getValue()));
        }
        return list;
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
    public boolean isFull() {
        return stream.isFull();
    }

    @Override
    public void onDrained(Runnable action) {
        stream.onDrained(action);
    }
}
