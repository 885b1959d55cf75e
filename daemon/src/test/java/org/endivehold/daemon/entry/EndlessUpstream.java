package org.endivehold.daemon.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.endivehold.adapter.CrowdPlatform;

/**
 * A faulty upstream on loopback: it answers each request with the beginning that the request's path names and then
 * repeats some bytes without end, until the connection is closed.
 */
final class EndlessUpstream implements AutoCloseable {
    /** What is sent without end. */
    enum Kind {
        NO_ANSWER("", "no answer at all"),
        LINES("", "line\n"),
        HEAD("HTTP/1.1 200 OK\r\n", "x-endless: 1\r\n"),
        HEAD_WITHOUT_LINE_END("HTTP/1.1 200 OK\r\nx-endless: ", "1111111"),
        INTERIM_HEADS("", "HTTP/1.1 100 Continue\r\n\r\n"),
        BODY("HTTP/1.1 200 OK\r\n\r\n", "bytes"),
        BODY_OF_AN_ERROR("HTTP/1.1 500 No\r\n\r\n", "bytes"),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"),
        CHUNK_LENGTH("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "000000"),
        TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "x-endless: 1\r\n"),
        EVENT("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "bytes");

        private final String beginning;
        private final String repeated;

        Kind(String beginning, String repeated) {
            this.beginning = beginning;
            this.repeated = repeated;
        }

        /** Adds what an answer to an attempt needs in its head. */
        private String beginningFor(String attempt) {
            return beginning.replaceFirst("\r\n", "\r\n" + attempt + "\r\n" + CrowdPlatform.SEAL_HEADER + ": seal\r\n");
        }
    }

    private static final int BACKLOG = 200;
    private static final int REPETITIONS = 4_000;

    private final ServerSocket server;
    private final AtomicInteger requests = new AtomicInteger();

    EndlessUpstream(String host) throws IOException {
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName(host));
        run(this::accept);
    }

    private static void run(Runnable task) {
        Thread thread = new Thread(task, "endless-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Returns the number of requests that have arrived. */
    int requests() {
        return requests.get();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                run(() -> serve(socket));
            } catch (IOException e) {
                return; // The test has closed the port.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = readHead(socket);
            requests.incrementAndGet();
            Kind kind = Kind.valueOf(head.replaceAll("(?s)^\\S+ /[^/]+/(\\w+).*", "$1"));
            String attempt = head.replaceAll("(?is).*\r\n(" + CrowdPlatform.ATTEMPT_HEADER + ": [^\r]*)\r\n.*", "$1");
            OutputStream out = socket.getOutputStream();
            out.write(kind.beginningFor(attempt).getBytes(StandardCharsets.US_ASCII));
            byte[] block = kind.repeated.repeat(REPETITIONS).getBytes(StandardCharsets.US_ASCII);
            while (true) {
                out.write(block);
            }
        } catch (IOException e) {
            return; // The caller has closed the connection.
        }
    }

    private static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection ended within the head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
