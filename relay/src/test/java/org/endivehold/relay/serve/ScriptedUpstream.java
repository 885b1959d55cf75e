package org.endivehold.relay.serve;

import io.vertx.core.net.SocketAddress;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** An upstream that answers each request with the next of its prepared byte sequences, one request per connection. */
final class ScriptedUpstream implements AutoCloseable {
    /** How a connection ends after the bytes of a reply. */
    enum End {
        /** Closed normally. */
        FIN,
        /** Closed with a TCP reset. */
        RESET,
        /** Left open without further bytes until the relay closes it. */
        SILENT,
        /** The last line of the reply is sent again and again until the relay closes the connection. */
        ENDLESS,
        /** The last event of the reply is sent again and again until the relay closes the connection. */
        ENDLESS_EVENTS,
        /** Closed with a TCP reset, as the process ends; nothing listens on its port any more. */
        CRASH,
        /** Sent before the body of the request is read; closed with a TCP reset at once. */
        EARLY_RESET_AT_ONCE,
        /** Sent before the body of the request is read; closed with a TCP reset once the reply has been read. */
        EARLY_RESET_LATER,
        /** Sent before the body of the request is read; closed normally with that body unread. */
        EARLY_CLOSE,
        /** Sent before the body of the request is read; closed for writing, and later with a TCP reset. */
        EARLY_HALF_CLOSE,
        /** Sent before the body of the request is read; closed normally after that body. */
        EARLY_READ_ON;

        /** Returns whether the reply is sent before the body of the request is read. */
        boolean isEarly() {
            return name().startsWith("EARLY");
        }
    }

    /** A reply; {@code ATTEMPT} in its bytes is replaced by the attempt id of the request. */
    record Reply(String bytes, End end) {}

    private static final int LINES_AT_ONCE = 20_000;
    /** Small, so that a long body is still being sent while it is not read, in bytes. */
    private static final int RECEIVE_BUFFER_BYTES = 8 << 10;
    /** Time in which the relay reads a reply on the loopback interface, in milliseconds. */
    private static final int READ_MILLIS = 100;

    private final ServerSocket server;
    private final Queue<Reply> replies = new ConcurrentLinkedQueue<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final BlockingQueue<String> closed = new LinkedBlockingQueue<>();
    private volatile Runnable onRequest = () -> {};
    private final CountDownLatch ended = new CountDownLatch(1);

    ScriptedUpstream() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        Thread thread = new Thread(this::accept, "scripted-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    SocketAddress address() {
        return SocketAddress.inetSocketAddress(server.getLocalPort(), "127.0.0.1");
    }

    ScriptedUpstream reply(String bytes, End end) {
        replies.add(new Reply(bytes, end));
        return this;
    }

    /** Replaces all pending replies by one. */
    void replaceReplies(String bytes) {
        replies.clear();
        replies.add(new Reply(bytes, End.FIN));
    }

    /** Sets an action that runs when a request has taken its reply from the queue, before the reply is sent. */
    void onRequest(Runnable action) {
        onRequest = action;
    }

    /** Returns the requests received so far, with their heads in lower case. */
    List<String> requests() {
        return requests;
    }

    /** Waits until a connection that was left open has been closed by the relay, or one has failed. */
    String awaitClosed() throws InterruptedException {
        return closed.take();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            ended.countDown();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = readHead(socket.getInputStream());
            if (head.isEmpty()) {
                return;
            }
            Reply pending = replies.peek();
            boolean early = pending != null && pending.end().isEarly();
            String request = early ? head : head + readBody(head, socket.getInputStream());
            requests.add(request);
            Reply reply = replies.poll();
            onRequest.run();
            if (reply == null) {
                return;
            }
            String attempt = request.replaceAll("(?s).*\r\nattempt: ([^\r]*)\r\n.*", "$1");
            byte[] bytes = reply.bytes().replace("ATTEMPT", attempt).getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            if (reply.end() == End.CRASH) {
                close();
            }
            if (reply.end().isEarly()) {
                endEarly(socket, reply.end(), head);
            } else if (reply.end() == End.RESET || reply.end() == End.CRASH) {
                awaitRead(socket);
                socket.setSoLinger(true, 0);
            } else if (reply.end() == End.ENDLESS) {
                sendWithoutEnd(socket, bytes, "\n");
            } else if (reply.end() == End.ENDLESS_EVENTS) {
                sendWithoutEnd(socket, bytes, "\n\n");
            } else if (reply.end() == End.SILENT) {
                int next = socket.getInputStream().read();
                closed.add("closed " + next);
            }
        } catch (IOException e) {
            closed.add("closed " + e.getMessage());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Repeats the last part of some bytes, which follows a separator and ends with one, until the connection fails, and
     * records how many bytes were sent.
     */
    private void sendWithoutEnd(Socket socket, byte[] bytes, String separator) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        int before = text.lastIndexOf(separator, text.length() - separator.length() - 1);
        byte[] line = text.substring(before + separator.length())
                .repeat(LINES_AT_ONCE)
                .getBytes(StandardCharsets.UTF_8);
        long sent = 0;
        try {
            while (true) {
                socket.getOutputStream().write(line);
                sent += line.length;
            }
        } catch (IOException e) {
            closed.add("closed after " + sent);
        }
    }

    /**
     * Waits 150 ms, as a reset may overtake bytes sent before it; the relay reads loopback bytes well within this time.
     */
    private static void awaitRead(Socket socket) throws IOException {
        socket.setSoTimeout(150);
        try {
            socket.getInputStream().read();
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(0);
        }
    }

    /** Ends a connection whose request body has not been read. */
    private void endEarly(Socket socket, End end, String head) throws IOException, InterruptedException {
        if (end == End.EARLY_READ_ON) {
            readBody(head, socket.getInputStream());
            return;
        }
        if (end == End.EARLY_HALF_CLOSE) {
            socket.shutdownOutput();
        }
        if (end != End.EARLY_RESET_AT_ONCE) {
            ended.await(READ_MILLIS, TimeUnit.MILLISECONDS);
        }
        if (end != End.EARLY_CLOSE) {
            socket.setSoLinger(true, 0);
        }
    }

    /**
     * Reads the head of a request, in lower case; empty if the connection was closed without one, as a check of the
     * process does.
     */
    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String head = "";
        while (!head.endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0 && head.isEmpty()) {
                return "";
            }
            if (next < 0) {
                throw new IOException("connection ended inside a request");
            }
            bytes.write(next);
            head = bytes.toString(StandardCharsets.UTF_8);
        }
        return head.toLowerCase(Locale.ROOT);
    }

    private static String readBody(String head, InputStream in) throws IOException {
        int length = 0;
        int at = head.indexOf("content-length: ");
        if (at >= 0) {
            length = Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
        }
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** Stops listening, and waits until the thread that accepts connections no longer holds the port open. */
    @Override
    public void close() throws IOException, InterruptedException {
        server.close();
        ended.await();
    }
}
