package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.error.ErrorType;

/** Records what would be written to a caller; each write but a break-off may fail. */
final class RecordingChannel implements ResponseChannel {
    final List<String> written = new ArrayList<>();
    /** Whether writing throws, as it does for a response that the HTTP library does not allow. */
    boolean failing;

    private void write(String what) {
        if (failing) {
            throw new IllegalStateException(what);
        }
        written.add(what);
    }

    @Override
    public void onClosed(Runnable action) {}

    @Override
    public Future<Void> respond(int status, MultiMap headers, Buffer body) {
        write("response " + status);
        return Future.succeededFuture();
    }

    @Override
    public void beginStream(int status, MultiMap headers) {
        write("stream " + status);
    }

    @Override
    public void writeEvents(Buffer events) {
        write("events");
    }

    @Override
    public void endStream() {
        write("end");
    }

    @Override
    public void breakOff() {
        written.add("broken off");
    }

    @Override
    public void fail(int status, ErrorType type, double retryAfterMillis) {
        write("failure " + status + " " + type.label());
    }

    @Override
    public void fault(boolean begun) {
        written.add(begun ? "broken off" : "failure 502 internal");
    }

    @Override
    public boolean isFull() {
        return false;
    }

    @Override
    public void onDrained(Runnable action) {}
}
