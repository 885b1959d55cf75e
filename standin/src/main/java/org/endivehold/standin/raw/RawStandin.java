package org.endivehold.standin.raw;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.endivehold.misc.LogEvent;
import org.jboss.logging.Logger;

/** A server on a free loopback port that answers each request with the same bytes, which need not be valid HTTP. */
public final class RawStandin implements AutoCloseable {
    /** What follows the answer on its connection. */
    public enum End {
        /** The next request on the same connection. */
        KEEP_OPEN,
        /** Its normal end. */
        CLOSE,
        /** A TCP reset. The answer has been sent before the body of the request was read, and nothing is read of it. */
        RESET_DURING_UPLOAD
    }

    private static final Logger log = Logger.getLogger(RawStandin.class);
    /** Small, so that a long body is still being sent while it is not read, in bytes. */
    private static final int RECEIVE_BUFFER_BYTES = 8 << 10;
    /** Time in which a client reads an answer on the loopback interface, in milliseconds. */
    private static final int READ_MILLIS = 100;

    private static final String LENGTH_FIELD = "\r\ncontent-length: ";

    private final ServerSocket server;
    private final byte[] answer;
    private final End end;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final CountDownLatch closed = new CountDownLatch(1);

    /**
     * Starts the server.
     *
     * @param answer bytes of each answer, one character for each
     * @param end what follows it
     * @throws IOException if no port can be opened
     */
    public RawStandin(String answer, End end) throws IOException {
        this.answer = answer.getBytes(StandardCharsets.ISO_8859_1);
        this.end = end;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        start(this::accept);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return TCP port
     */
    public int port() {
        return server.getLocalPort();
    }

    /**
     * Returns the number of requests whose head has arrived.
     *
     * @return number of requests
     */
    public int requests() {
        return requests.get();
    }

    /**
     * Returns the number of connections that were opened.
     *
     * @return number of connections
     */
    public int connections() {
        return connections.get();
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action, "raw-standin");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                connections.incrementAndGet();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            closed.countDown();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = readHead(socket.getInputStream());
            while (!head.isEmpty()) {
                requests.incrementAndGet();
                answer(socket, head);
                head = end == End.KEEP_OPEN ? readHead(socket.getInputStream()) : "";
            }
        } catch (IOException e) {
            LogEvent.of("raw-standin-connection-ended")
                    .with("reason", e.getMessage())
                    .debug(log);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Socket socket, String head) throws IOException, InterruptedException {
        if (end != End.RESET_DURING_UPLOAD) {
            socket.getInputStream().readNBytes(bodyLength(head));
        }
        socket.getOutputStream().write(answer);
        socket.getOutputStream().flush();
        if (end == End.RESET_DURING_UPLOAD) {
            closed.await(READ_MILLIS, TimeUnit.MILLISECONDS);
            socket.setSoLinger(true, 0);
        }
    }

    private static int bodyLength(String head) {
        int at = head.indexOf(LENGTH_FIELD);
        if (at < 0) {
            return 0;
        }
        int start = at + LENGTH_FIELD.length();
        return Integer.parseInt(head.substring(start, head.indexOf('\r', start)));
    }

    /** Reads the head of a request, in lower case; empty if the connection ended before it was complete. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString().toLowerCase(Locale.ROOT);
    }

    /** Stops listening; connections end with their clients. */
    @Override
    public void close() throws IOException {
        server.close();
    }
}
