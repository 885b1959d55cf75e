package org.endivehold.daemon.entry;

import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/** The link from one daemon to one upstream: a proxy on the loopback interface that can be cut in several ways. */
final class UpstreamLink implements AutoCloseable {
    /** What happens to the connections of a link that is cut. */
    enum Cut {
        /** Bytes on open connections are dropped, and attempts to open new ones get no answer. */
        SILENT,
        /** Open connections are reset, and new ones are refused. */
        RESET,
        /** Open connections go on, and new ones are refused. */
        NEW_REFUSED
    }

    private static final int BACKLOG = 8;
    /** Connections that fill the queue of the port, so that the system does not answer further ones. */
    private static final int QUEUE_FILLERS = 2 * BACKLOG;

    private static final int BUFFER_BYTES = 8_192;

    private final SocketAddress upstream;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<SocketChannel> fillers = new ArrayList<>();
    private final ServerSocket server;
    private volatile CountDownLatch cutEnds = new CountDownLatch(0);
    private volatile boolean silent;

    UpstreamLink(SocketAddress upstream) throws IOException {
        this.upstream = upstream;
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        run(this::acceptAll);
    }

    /** Returns the port at which the daemon reaches the upstream. */
    int port() {
        return server.getLocalPort();
    }

    private static void run(Runnable task) {
        Thread thread = new Thread(task, "upstream-link");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket inbound = server.accept();
                cutEnds.await();
                Socket outbound = new Socket();
                outbound.connect(new InetSocketAddress(upstream.host(), upstream.port()));
                run(() -> pump(inbound, outbound));
                run(() -> pump(outbound, inbound));
            }
        } catch (IOException e) {
            // The port was closed.
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void pump(Socket from, Socket to) {
        open.add(from);
        byte[] bytes = new byte[BUFFER_BYTES];
        try (from;
                to) {
            from.setTcpNoDelay(true);
            InputStream in = from.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (!silent) {
                    to.getOutputStream().write(bytes, 0, count);
                }
            }
        } catch (IOException e) {
            // One side closed or reset the connection; both are closed now.
        }
        open.remove(from);
    }

    void cut(Cut cut) throws IOException {
        if (cut == Cut.SILENT) {
            cutEnds = new CountDownLatch(1);
            silent = true;
            fillQueue();
        } else {
            server.close();
        }
        if (cut == Cut.RESET) {
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    private void fillQueue() throws IOException {
        for (int i = 0; i < QUEUE_FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(server.getLocalSocketAddress());
            fillers.add(filler);
        }
    }

    /** Ends a cut by which the link went silent. */
    void restore() throws IOException {
        silent = false;
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        fillers.clear();
        cutEnds.countDown();
    }

    @Override
    public void close() throws IOException {
        restore();
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
