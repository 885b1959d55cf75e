package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Removes hop-by-hop headers, which concern a single connection and are not forwarded. */
final class ConnectionHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private ConnectionHeaders() {}

    /** Returns whether a response ends with its connection, so that an upstream that ends may seem to complete it. */
    static boolean endsWithConnection(MultiMap responseHeaders) {
        return !responseHeaders.contains(HttpHeaders.CONTENT_LENGTH)
                && !responseHeaders.contains(HttpHeaders.TRANSFER_ENCODING);
    }

    /**
     * Returns a copy without hop-by-hop headers, those that the Connection header names among them, and without the
     * content length, which is set again when the message is written.
     */
    static MultiMap strip(MultiMap headers) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        for (String connectionHeader : headers.getAll("connection")) {
            for (String name : connectionHeader.split(",", -1)) {
                dropped.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        MultiMap kept = MultiMap.caseInsensitiveMultiMap();
        for (Map.Entry<String, String> header : headers) {
            if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                kept.add(header.getKey(), header.getValue());
            }
        }
        return kept;
    }
}
