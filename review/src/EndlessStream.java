import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One answer of one engine goes wrong: after the head come line feeds without end, until the daemon closes. The other requests at that
 * daemon have to be answered.
 */
final class EndlessStream {
    private static final int PLAIN_PER_SECOND = 15;
    private static final int BLOCK_BYTES = 65_536;

    private final boolean trouble;
    private final Record record;
    private final Fleet fleet;
    private final AtomicBoolean due = new AtomicBoolean();

    private EndlessStream(boolean trouble, Record record, Fleet fleet) {
        this.trouble = trouble;
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] args) throws IOException {
        Case.run(args, (trouble, record, fleet) -> new EndlessStream(trouble, record, fleet).run());
    }

    private boolean run() throws IOException {
        for (String zone : List.of("bogota-a", "bogota-b", "bogota-c")) {
            fleet.addServer("i-" + zone, zone, 43);
            wrap(fleet.addEngine("e-" + zone, zone, 20, 50));
        }
        fleet.addDaemon("bogota-a");
        fleet.addDaemon("bogota-a");
        fleet.start();
        Platform platform = new Platform(fleet.daemons);
        Traffic traffic = new Traffic(fleet, record);
        traffic.start(PLAIN_PER_SECOND, () -> platform.choose("bogota-a"));
        for (int i = 0; i < 30; i++) {
            if (i == 10 && trouble) {
                due.set(true);
            }
            Threads.daemon(() -> sendStream(platform.choose("bogota-a"))).start();
            Threads.sleep(500);
        }
        traffic.stop();
        Threads.sleep(12_000);
        traffic.sayGone();
        return traffic.checkTimeouts("plain requests", List.copyOf(traffic.sent));
    }

    /** Lets an engine spoil the next answer that is due to go wrong. */
    private void wrap(Server engine) {
        Server.Handler sound = fleet.stream(20, 50);
        engine.handler((request, out) -> {
            if (!due.compareAndSet(true, false)) {
                return sound.answer(request, out);
            }
            fleet.countRun(request);
            record.line("the answer of " + engine.id + " to " + request.id() + " is line feeds without end");
            return sendLineFeeds(request, out);
        });
    }

    private boolean sendLineFeeds(Server.Request request, OutputStream out) throws IOException {
        String head = "HTTP/1.1 200 OK\r\n" + Wire.ATTEMPT + ": " + request.id()
                + "\r\n" + Wire.SEAL + ": seal-" + request.id() + "\r\nContent-Type: text/event-stream\r\n\r\n";
        byte[] block = new byte[BLOCK_BYTES];
        Arrays.fill(block, (byte) '\n');
        long bytes = 0;
        try {
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
                out.write(block);
                bytes += block.length;
            }
        } finally {
            record.line("the daemon closed that connection after " + bytes + " bytes");
        }
    }

    private void sendStream(Daemon daemon) {
        String id = fleet.nextId();
        long at = record.millis();
        try (Client client = new Client(daemon.host, daemon.callers)) {
            client.send("POST", "/consulta/x", Fleet.streamHeaders(id), new byte[1_200]);
            Client.Answer answer = client.read(11_000);
            record.line("stream " + id + " to " + daemon.name + ": sent at " + at + " ms, after "
                    + (record.millis() - at) + " ms " + answer.text() + "; runs: " + fleet.runCount(id));
        } catch (IOException e) {
            record.line("stream " + id + " to " + daemon.name + " was not sent: " + e.getMessage());
        }
    }
}
