import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A stand-in of a model server: it answers each request with a stream of events, and orders with success. */
final class Engine {
    /** Is told when a request begins to run, and how its run ended. */
    interface Observer {
        void began(Engine engine, Http.Message request);

        void ended(Engine engine, Http.Message request, String how);
    }

    final String id;
    final long bornMillis = System.currentTimeMillis();
    final Http.Server server;
    private final Observer observer;
    private final long firstEventMillis;
    private final long eventMillis;
    private final int events;
    volatile boolean leaving;
    private String padding = "";
    private volatile boolean ended;

    Engine(String id, String host, long firstEventMillis, long eventMillis, int events, Observer observer)
            throws IOException {
        this.id = id;
        this.firstEventMillis = firstEventMillis;
        this.eventMillis = eventMillis;
        this.events = events;
        this.observer = observer;
        server = new Http.Server(host, 0, this::serve);
    }

    String entry() {
        return Site.entry("huvo11a", server.address(), "ready", 1, bornMillis);
    }

    /** Makes each event at least so long. */
    void padTo(int bytes) {
        padding = "x".repeat(bytes);
    }

    /** Exits: what runs is cut off. */
    void exit() {
        ended = true;
        server.end();
    }

    private boolean serve(Http.Message request, Socket socket, OutputStream out) throws IOException {
        if (request.target().equals("/order")) {
            Http.write(out, "HTTP/1.1 200 OK", Map.of("Content-Type", "application/json"), "{\"free\":100000}".getBytes());
            return true;
        }
        observer.began(this, request);
        String how = "cut";
        try {
            how = stream(request, out) ? "complete" : "cut";
        } finally {
            observer.ended(this, request, how);
        }
        return false;
    }

    private boolean stream(Http.Message request, OutputStream out) throws IOException {
        Waiting.sleep(firstEventMillis);
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + Wire.ATTEMPT + ": " + request.header(Wire.ATTEMPT) + "\r\n"
                + Wire.SEAL + ": seal." + id + "\r\n"
                + "X-Endivehold-Server-Load: 1,0,11\r\n"
                + (leaving ? Wire.LEAVING + ": 1\r\n" : "")
                + "\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        String after = request.header("Last-Event-Id");
        for (int i = after == null ? 1 : Integer.parseInt(after) + 1; i <= events; i++) {
            if (ended) {
                return false;
            }
            String event = "id: " + i + "\ndata: piece " + i + " of " + request.header(Wire.ATTEMPT) + padding
                    + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Waiting.sleep(eventMillis);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
        return true;
    }
}
