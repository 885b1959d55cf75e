import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A connection of a client, which sends one request at a time and reads its answer. */
final class Client implements Closeable {
    /**
     * What a client saw of one request.
     *
     * @param status HTTP status; 0 if no head arrived
     * @param complete whether the answer is complete
     * @param why why it isn't
     */
    record Answer(int status, boolean complete, Map<String, String> headers, byte[] body, String why) {
        boolean served() {
            return complete && status == 200;
        }

        String text() {
            return complete ? status + ", " + body.length + " bytes" : "status " + status + ", incomplete: " + why;
        }
    }

    /** Why an answer is missing that didn't come within the limit. */
    static final String NO_ANSWER = "no answer in time";

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(String host, int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Writes a request; the answer is read with {@link #read}. */
    void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Reads an answer, for at most some milliseconds from now. */
    Answer read(long limitMillis) {
        long end = System.nanoTime() / 1_000_000 + limitMillis;
        Map<String, String> headers = new HashMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        try {
            String first = line(end);
            status = Integer.parseInt(first.split(" ")[1]);
            for (String line = line(end); !line.isEmpty(); line = line(end)) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            if (headers.containsKey("content-length")) {
                read(body, Integer.parseInt(headers.get("content-length")), end);
            } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                int size = Integer.parseInt(line(end), 16);
                while (size > 0) {
                    read(body, size, end);
                    line(end);
                    size = Integer.parseInt(line(end), 16);
                }
                line(end);
            }
            return new Answer(status, true, headers, body.toByteArray(), "");
        } catch (SocketTimeoutException e) {
            return new Answer(status, false, headers, body.toByteArray(), NO_ANSWER);
        } catch (IOException | RuntimeException e) {
            return new Answer(status, false, headers, body.toByteArray(), "connection ended: " + e.getMessage());
        }
    }

    private int readByte(long end) throws IOException {
        long left = end - System.nanoTime() / 1_000_000;
        if (left <= 0) {
            throw new SocketTimeoutException();
        }
        socket.setSoTimeout((int) left);
        int value = in.read();
        if (value < 0) {
            throw new IOException("end of stream");
        }
        return value;
    }

    private String line(long end) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = readByte(end); c != '\n'; c = readByte(end)) {
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private void read(ByteArrayOutputStream body, int bytes, long end) throws IOException {
        for (int i = 0; i < bytes; i++) {
            body.write(readByte(end));
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
