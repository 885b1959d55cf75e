import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 codec and server over plain sockets, one thread for each connection. */
final class Http {
    private Http() {}

    /** A request or a response: its first line, its headers by lower-case names, and its body. */
    record Message(String line, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }
    }

    /** Serves one request; the connection is kept if it returns true. */
    interface Handler {
        boolean serve(Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** A server that listens on a loopback address until it is closed. */
    static final class Server {
        final ServerSocket listener;
        private final Handler handler;
        private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
            daemonThread(this::accept, "accept");
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + port();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemonThread(() -> serve(socket), "connection");
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                Message request = read(in, false);
                while (request != null && handler.serve(request, socket, out)) {
                    request = read(in, false);
                }
            } catch (IOException e) {
                // The other side has gone.
            } finally {
                open.remove(socket);
            }
        }

        /** Stops listening and closes all connections, as a process does that ends. */
        void end() {
            try {
                listener.close();
                for (Socket socket : open) {
                    socket.close();
                }
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    static Thread daemonThread(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a message; null at the end of the stream. A response without a length ends with its connection. */
    static Message read(InputStream in, boolean response) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).trim().toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        return new Message(line, headers, body(in, headers, response));
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean response) throws IOException {
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("broken off in a chunked body after " + body.size() + " bytes");
                }
                int length = Integer.parseInt(size.trim(), 16);
                body.write(exactly(in, length));
                line(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = headers.get("content-length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("broken off after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(c);
        }
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Writes a head with the length of the body, and the body. */
    static void write(OutputStream out, String line, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(line).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
