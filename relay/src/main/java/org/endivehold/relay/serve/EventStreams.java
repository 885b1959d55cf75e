package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import java.util.Locale;
import org.endivehold.relay.route.RelayRoute;
import org.endivehold.relay.route.RequestKind;

/** Tells which answers are event streams, and which of those that were received whole have been broken off. */
final class EventStreams {
    private static final String MEDIA_TYPE = "text/event-stream";

    private EventStreams() {}

    /**
     * Returns whether the body of an answer is an event stream. On a streaming route it is, unless the upstream
     * declares another content; on other routes only if the upstream declares one.
     */
    static boolean isEventStream(RelayRoute route, MultiMap headers) {
        String type = headers.get(HttpHeaders.CONTENT_TYPE);
        if (type == null) {
            return route.kind() == RequestKind.STREAM;
        }
        String mediaType = type.split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
        return mediaType.equals(MEDIA_TYPE);
    }

    /**
     * Returns whether an answer that arrived to its end is an event stream that ends inside an event. The end of a
     * connection does not show whether the upstream had finished, so the end of the last event has to. For a success of
     * a streaming route that holds however the end of the body is marked; elsewhere a length or chunks are enough.
     */
    static boolean isBrokenOff(RelayRoute route, CallerStream.Head head, Buffer body) {
        boolean streaming = route.kind() == RequestKind.STREAM && head.isSuccess();
        boolean endMarked = !ConnectionHeaders.endsWithConnection(head.headers());
        if (!isEventStream(route, head.headers()) || (endMarked && !streaming)) {
            return false;
        }
        EventSplitter splitter = new EventSplitter((id, event) -> {});
        splitter.add(body);
        splitter.pass(Integer.MAX_VALUE);
        return splitter.hasPartialEvent();
    }
}
