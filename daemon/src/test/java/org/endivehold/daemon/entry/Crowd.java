package org.endivehold.daemon.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Clients that open connections to one address and send what their script says, all from one thread. */
final class Crowd implements AutoCloseable {
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");
    /** Connections that are opened in a turn. */
    private static final int OPENED_PER_TURN = 20;
    /** Longest answer that a client keeps, in bytes. */
    private static final int MAX_KEPT_BYTES = 16_384;

    /**
     * What one client does.
     *
     * @param uris the requests, in the order in which they are sent
     * @param bytes the bytes to send
     * @param bytesPerTurn most bytes that are sent in a turn of the crowd
     * @param endless whether the last part of the bytes is sent again and again
     * @param reads whether answers are read
     * @param leaves whether the client closes the connection once it has sent everything
     */
    record Script(
            List<String> uris, ByteBuffer bytes, int bytesPerTurn, boolean endless, boolean reads, boolean leaves) {}

    /** One connection. */
    private static final class Client {
        private final Script script;
        private final ByteBuffer out;
        private final StringBuilder answers = new StringBuilder();
        private SocketChannel channel;

        Client(Script script) {
            this.script = script;
            out = script.bytes().duplicate();
        }
    }

    private final InetSocketAddress address;
    private final List<Client> clients = new ArrayList<>();
    private final ByteBuffer in = ByteBuffer.allocate(65_536);
    private int opened;

    Crowd(String host, int port, List<Script> scripts) {
        address = new InetSocketAddress(host, port);
        scripts.forEach(script -> clients.add(new Client(script)));
    }

    /** Opens the next connections; the crowd is complete after some turns. */
    private void open() {
        for (int i = 0; i < OPENED_PER_TURN && opened < clients.size(); i++) {
            Client client = clients.get(opened);
            opened++;
            try {
                client.channel = SocketChannel.open();
                client.channel.configureBlocking(false);
                client.channel.connect(address);
            } catch (IOException e) {
                leave(client);
            }
        }
    }

    /** Lets each client send and read as much as it does in one turn. */
    void takeTurn() {
        open();
        for (Client client : clients) {
            if (client.channel != null) {
                try {
                    takeTurn(client);
                } catch (IOException e) {
                    leave(client); // The daemon has closed the connection.
                }
            }
        }
    }

    private void takeTurn(Client client) throws IOException {
        if (!client.channel.finishConnect()) {
            return;
        }
        if (client.script.reads()) {
            read(client);
        }
        if (client.channel != null) {
            send(client);
        }
    }

    private void send(Client client) throws IOException {
        ByteBuffer out = client.out;
        int end = Math.min(out.capacity(), out.position() + client.script.bytesPerTurn());
        out.limit(end);
        client.channel.write(out);
        if (out.position() == out.capacity()) {
            if (client.script.endless()) {
                out.position(out.capacity() / 2);
            } else if (client.script.leaves()) {
                leave(client);
            }
        }
    }

    private void read(Client client) throws IOException {
        in.clear();
        int count = client.channel.read(in);
        if (count < 0) {
            leave(client);
        } else if (client.answers.length() < MAX_KEPT_BYTES) {
            client.answers.append(new String(in.array(), 0, count, StandardCharsets.ISO_8859_1));
        }
    }

    /** Returns the requests that were refused as not run. */
    List<String> refused() {
        List<String> refused = new ArrayList<>();
        for (Client client : clients) {
            Matcher status = STATUS.matcher(client.answers);
            for (int i = 0; i < client.script.uris().size() && status.find(); i++) {
                if (List.of("408", "421", "429", "503").contains(status.group(1))) {
                    refused.add(client.script.uris().get(i));
                }
            }
        }
        return refused;
    }

    private static void leave(Client client) {
        if (client.channel != null) {
            try {
                client.channel.close();
            } catch (IOException e) {
                client.answers.append(""); // The connection is gone either way.
            }
            client.channel = null;
        }
    }

    /** Reads what is there for the clients that have not read, and closes all connections. */
    @Override
    public void close() {
        for (Client client : clients) {
            if (client.channel != null && !client.script.reads()) {
                try {
                    read(client);
                } catch (IOException e) {
                    leave(client); // The daemon has closed the connection.
                }
            }
            leave(client);
        }
    }
}
