package org.endivehold.daemon.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Different ports of the loopback interface that nobody listens on, for daemons that run on one host.
 *
 * <p>All are open at the same time while they are looked for, since the system may give a port that was closed out
 * again at once. They are below those that the system gives to outgoing connections: one of these could take a port
 * before the daemon does.
 */
final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int END_OF_PORTS = 32_000;
    /** Ports that are tried for each one that is looked for. */
    private static final int MAX_TRIES = 100;

    private final Queue<Integer> ports = new ArrayDeque<>();

    private FreePorts() {}

    /**
     * Finds ports.
     *
     * @param count how many
     * @throws IOException if there are not so many
     */
    static FreePorts find(int count) throws IOException {
        FreePorts found = new FreePorts();
        List<ServerSocket> open = new ArrayList<>();
        try {
            for (int tries = 0; open.size() < count && tries < count * MAX_TRIES; tries++) {
                openAny().ifPresent(open::add);
            }
        } finally {
            for (ServerSocket socket : open) {
                found.ports.add(socket.getLocalPort());
                socket.close();
            }
        }
        if (open.size() < count) {
            throw new IOException("only " + open.size() + " of " + count + " ports are free");
        }
        return found;
    }

    private static Optional<ServerSocket> openAny() {
        int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_OF_PORTS);
        try {
            return Optional.of(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        } catch (IOException e) {
            return Optional.empty(); // Somebody else has this port: another one is tried.
        }
    }

    /** Returns the next port; fails if all have been returned. */
    int next() {
        return ports.remove();
    }
}
