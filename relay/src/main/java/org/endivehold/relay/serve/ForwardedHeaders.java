package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.endivehold.relay.peer.PeerMessage;

/** Translates the header fields of requests and responses between HTTP and the messages of daemons. */
final class ForwardedHeaders {
    private ForwardedHeaders() {}

    /** Returns the fields as they are sent to another daemon, in their order. */
    static List<PeerMessage.Header> toMessage(MultiMap headers) {
        List<PeerMessage.Header> list = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            list.add(new PeerMessage.Header(header.getKey(), header.getValue()));
        }
        return list;
    }

    /** Returns fields that another daemon has sent, in their order. */
    static MultiMap fromMessage(List<PeerMessage.Header> headers) {
        MultiMap map = MultiMap.caseInsensitiveMultiMap();
        headers.forEach(header -> map.add(header.name(), header.value()));
        return map;
    }
}
