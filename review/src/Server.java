import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A stand-in of a server: reads requests and leaves the answer to a handler. One request at a time on a connection. */
final class Server {
    /** A request as the server got it. */
    record Request(String method, String path, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault(Wire.key(Wire.ATTEMPT), "");
        }
    }

    /** Answers a request; returns whether the connection is kept. */
    interface Handler {
        boolean answer(Request request, OutputStream out) throws IOException;
    }

    final String id;
    private final ServerSocket listener;
    private volatile Handler handler;

    Server(String id, String host, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 500);
        Threads.daemon(this::accept).start();
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    void handler(Handler value) {
        handler = value;
    }

    /** Ends the server: nothing listens at its address any more. */
    void close() throws IOException {
        listener.close();
    }

    /** Returns the entry of this server in the store. */
    String entry(String service, String zone, int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1750000000000}";
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Threads.daemon(() -> serve(socket)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Request request = read(in); request != null; request = read(in)) {
                String target = request.headers().get(Wire.key(Wire.TARGET));
                if (target != null && !target.equals(id)) {
                    write(out, 421, Map.of(Wire.INSTANCE, id), new byte[0]);
                } else if (!handler.answer(request, out)) {
                    return;
                }
            }
        } catch (IOException | RuntimeException e) {
            // The daemon has closed the connection.
        }
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Request(words[0], words[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Writes a complete answer with a length. */
    static void write(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Writes the head of a stream in chunks. */
    static void beginStream(Request request, OutputStream out) throws IOException {
        String head = "HTTP/1.1 200 OK\r\n" + Wire.ATTEMPT + ": " + request.id()
                + "\r\n" + Wire.SEAL + ": seal-" + request.id()
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Writes one chunk; an empty one ends the answer. */
    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Answers as a sound server does, after its work. */
    static boolean answer(Request request, OutputStream out, long workMillis, byte[] body) throws IOException {
        Threads.sleep(workMillis);
        write(
                out,
                200,
                Map.of(
                        Wire.ATTEMPT, request.id(),
                        Wire.SEAL, "seal-" + request.id(),
                        Wire.LOAD, "1,0,6"),
                body);
        return true;
    }
}
