import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One of three plain servers answers for five seconds with bytes without end after the head, while many users come at once. The requests
 * have to be answered, those at the sound servers too.
 */
final class EndlessAnswer {
    /** Clients that send one request after the other. */
    private static final int CLIENTS = 75;

    private static final int BLOCK_BYTES = 65_536;
    private static final long TROUBLE_MILLIS = 5_000;
    private static final long LENGTH_MILLIS = 14_000;

    private final boolean trouble;
    private final Record record;
    private final Fleet fleet;

    private EndlessAnswer(boolean trouble, Record record, Fleet fleet) {
        this.trouble = trouble;
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] args) throws IOException {
        Case.run(args, (trouble, record, fleet) -> new EndlessAnswer(trouble, record, fleet).run());
    }

    private boolean run() throws IOException {
        for (String zone : List.of("bogota-a", "bogota-b", "bogota-c")) {
            fleet.addServer("i-" + zone, zone, 100);
        }
        Daemon daemon = fleet.addDaemon("bogota-a");
        fleet.start();
        Traffic traffic = new Traffic(fleet, record);
        long end = record.millis() + LENGTH_MILLIS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = Threads.daemon(() -> {
                while (record.millis() < end) {
                    traffic.send(daemon);
                }
            });
            client.start();
            clients.add(client);
        }
        Threads.sleep(4_000);
        if (trouble) {
            spoil(fleet.servers.get(0));
        }
        for (Thread client : clients) {
            try {
                client.join();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        traffic.sayGone();
        return traffic.checkTimeouts("plain requests", List.copyOf(traffic.sent));
    }

    private void spoil(Server server) {
        byte[] junk = new byte[BLOCK_BYTES];
        new Random(1).nextBytes(junk);
        record.line(server.id + " begins to answer with bytes without end");
        server.handler((request, out) -> {
            fleet.countRun(request);
            String head = "HTTP/1.1 200 OK\r\n" + Wire.ATTEMPT + ": " + request.id()
                    + "\r\n" + Wire.SEAL + ": seal-" + request.id() + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
                out.write(junk);
            }
        });
        Threads.daemon(() -> {
                    Threads.sleep(TROUBLE_MILLIS);
                    server.handler(fleet.sound(100));
                    record.line(server.id + " is sound again");
                })
                .start();
    }
}
