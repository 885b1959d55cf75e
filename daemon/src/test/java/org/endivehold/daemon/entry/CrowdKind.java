package org.endivehold.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.adapter.CrowdPlatform;

/** What the clients of a crowd send. */
enum CrowdKind {
    BODIES_IN_ONE_PIECE,
    BODIES_IN_SMALL_PIECES,
    CHUNKS_THAT_STOP_SHORT,
    BODIES_OVER_THE_LIMIT,
    MANY_FIELDS,
    MANY_FIELDS_UNFINISHED,
    MANY_QUERY_FIELDS,
    PIPELINED_UNREAD,
    SLOW_SENDERS,
    SLOW_READERS,
    HALF_WAY_STOPS;

    /** Where a crowd goes. */
    enum Target {
        PLAIN("/plain/"),
        STREAM("/stream/"),
        NO_ROUTE("/nowhere/"),
        READINESS("/readiness"),
        METRICS("/metrics"),
        PEERS("/");

        private final String path;

        Target(String path) {
            this.path = path;
        }

        int port(DaemonProcess daemon) {
            return switch (this) {
                case PLAIN, STREAM, NO_ROUTE -> daemon.callersPort();
                case READINESS -> daemon.readinessPort();
                case METRICS -> DaemonProcess.METRICS_PORT;
                case PEERS -> daemon.peersPort();
            };
        }
    }

    private static final int ALL = 1 << 20;
    private static final int FIELDS = 3_000;
    private static final int PIPELINED = 400;
    private static final int CHUNKS = 12_000;
    /** Length of a peer frame that is never completed, in bytes. */
    private static final int FRAME_BYTES = 4 << 20;

    Crowd.Script script(Target target, int index) {
        List<String> uris = new ArrayList<>();
        int count = this == PIPELINED_UNREAD ? PIPELINED : 1;
        for (int i = 0; i < count; i++) {
            boolean fixedPath = target == Target.READINESS || target == Target.METRICS;
            uris.add(target.path + (fixedPath ? "" : "c" + index + "-" + i) + query());
        }
        byte[] bytes = target == Target.PEERS ? frame(uris) : requests(uris);
        boolean endless = this == BODIES_OVER_THE_LIMIT;
        boolean reads = this != PIPELINED_UNREAD && this != SLOW_READERS;
        return new Crowd.Script(uris, ByteBuffer.wrap(bytes), bytesPerTurn(), endless, reads, this == HALF_WAY_STOPS);
    }

    private int bytesPerTurn() {
        return switch (this) {
            case BODIES_IN_SMALL_PIECES -> 2_000;
            case SLOW_SENDERS -> 2;
            default -> ALL;
        };
    }

    private String query() {
        return this == MANY_QUERY_FIELDS ? "?" + "a&".repeat(FIELDS) : "";
    }

    /** A frame of peers whose length is legal, and which is not complete. */
    private byte[] frame(List<String> uris) {
        byte[] text = this == SLOW_READERS || this == PIPELINED_UNREAD
                ? new byte[CrowdPlatform.MAX_BODY_BYTES]
                : requests(uris);
        return ByteBuffer.allocate(text.length + 4)
                .putInt(FRAME_BYTES)
                .put(text)
                .array();
    }

    private byte[] requests(List<String> uris) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (String uri : uris) {
            bytes.writeBytes(request(uri).getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toByteArray();
    }

    private String request(String uri) {
        int limit = CrowdPlatform.MAX_BODY_BYTES;
        return switch (this) {
            case BODIES_IN_ONE_PIECE, BODIES_IN_SMALL_PIECES ->
                head("POST", uri) + "Content-Length: " + limit + "\r\n\r\n" + "x".repeat(limit - 1);
            case CHUNKS_THAT_STOP_SHORT ->
                head("POST", uri) + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(CHUNKS);
            case BODIES_OVER_THE_LIMIT ->
                head("POST", uri) + "Content-Length: " + (1 << 30) + "\r\n\r\n" + "x".repeat(4 * limit);
            case MANY_FIELDS -> head("POST", uri) + "a:b\r\n".repeat(FIELDS) + "Content-Length: 9\r\n\r\nx";
            case MANY_FIELDS_UNFINISHED -> head("POST", uri) + "a:b\r\n".repeat(FIELDS);
            case SLOW_SENDERS -> head("POST", uri) + "Content-Length: 900\r\n\r\n" + "x".repeat(900);
            case HALF_WAY_STOPS -> head("POST", uri) + "Content-Length: 9000\r\n\r\n" + "x".repeat(4500);
            case MANY_QUERY_FIELDS, PIPELINED_UNREAD, SLOW_READERS -> head("GET", uri) + "\r\n";
        };
    }

    private static String head(String method, String uri) {
        return method + " " + uri + " HTTP/1.1\r\nHost: crowd\r\nX-Api-Key: key\r\n" + CrowdPlatform.ATTEMPT_HEADER
                + ": a\r\n";
    }
}
