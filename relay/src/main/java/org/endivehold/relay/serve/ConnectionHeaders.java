package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Removes the headers that concern only one connection. */
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

    /** Returns a copy without headers of the connection and without the length, which the writer sets. */
    static MultiMap strip(MultiMap headers) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        for (String listed : headers.getAll("connection")) {
            for (String name : listed.split(",", -1)) {
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
