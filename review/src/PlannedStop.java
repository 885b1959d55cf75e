import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Daemons are stopped with SIGTERM and started again in turn while the store is slow. A request that a stopping daemon has read has to
 * be answered.
 */
final class PlannedStop {
    /** Rolls through all daemons. */
    private static final int ROLLS = 7;
    /** Pause between the stops of a roll, in milliseconds. */
    private static final long GAP_MILLIS = 1_000;
    /** Length and answer time of the slow store, in milliseconds: 60 times its usual 4 ms. */
    private static final long SLOW_FOR_MILLIS = 4_500;

    private static final long SLOW_ANSWER_MILLIS = 240;
    /** Time that a server works on a request, in milliseconds. */
    private static final long WORK_MILLIS = 85;
    /** Requests a second in each zone. */
    private static final int PER_SECOND = 20;
    /** What a connection may lose without an answer after the last byte of its request, in milliseconds (loss_slack_ms). */
    private static final long LOSS_SLACK_MILLIS = 200;

    private final boolean trouble;
    private final Record record;
    private final Fleet fleet;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();

    private PlannedStop(boolean trouble, Record record, Fleet fleet) {
        this.trouble = trouble;
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] args) throws IOException {
        Case.run(args, (trouble, record, fleet) -> new PlannedStop(trouble, record, fleet).run());
    }

    private boolean run() throws IOException {
        for (String zone : List.of("bogota-a", "bogota-b", "bogota-c")) {
            fleet.addServer("i-" + zone, zone, WORK_MILLIS);
            for (int i = 0; i < (zone.equals("bogota-c") ? 2 : 3); i++) {
                fleet.addDaemon(zone);
            }
        }
        fleet.start();
        Platform platform = new Platform(fleet.daemons);
        List<Thread> clients = new ArrayList<>();
        long end = System.nanoTime() / 1_000_000 + ROLLS * 13_000;
        for (String zone : List.of("bogota-a", "bogota-b", "bogota-c")) {
            Thread zoneClients = Threads.daemon(() -> sendRequests(platform, zone, end));
            zoneClients.start();
            clients.add(zoneClients);
        }
        Threads.sleep(3_500);
        for (int roll = 0; trouble && roll < ROLLS; roll++) {
            roll(roll);
        }
        while (System.nanoTime() / 1_000_000 < end + 3_000) {
            Threads.sleep(100);
        }
        record.say("requests sent " + sent + ", served " + served + ", read by a stopping daemon and lost " + lost.size());
        return lost.isEmpty();
    }

    private void roll(int number) {
        record.line("roll " + number + " begins; the store takes " + SLOW_ANSWER_MILLIS + " ms for "
                + SLOW_FOR_MILLIS + " ms from 2.5 s on");
        Threads.daemon(() -> {
                    Threads.sleep(2_500);
                    fleet.store.delayMillis = SLOW_ANSWER_MILLIS;
                    Threads.sleep(SLOW_FOR_MILLIS);
                    fleet.store.delayMillis = 4;
                })
                .start();
        List<Thread> restarts = new ArrayList<>();
        for (Daemon daemon : fleet.daemons) {
            Thread restart = Threads.daemon(() -> restart(daemon));
            restart.start();
            restarts.add(restart);
            Threads.sleep(GAP_MILLIS);
        }
        Threads.sleep(4_500);
    }

    private void restart(Daemon daemon) {
        try {
            record.line("SIGTERM to " + daemon.name);
            daemon.stopping = true;
            daemon.terminate();
            daemon.waitExit(8_000);
            record.line(daemon.name + " has ended, exit status " + daemon.exitStatus());
            daemon.stopping = false;
            Threads.sleep(300);
            daemon.start(fleet.repository, fleet.store.address(), fleet.daemons.subList(0, 3));
        } catch (IOException e) {
            record.line(daemon.name + " was not started: " + e.getMessage());
        }
    }

    private void sendRequests(Platform platform, String zone, long end) {
        while (System.nanoTime() / 1_000_000 < end) {
            Threads.daemon(() -> sendRequest(platform.choose(zone))).start();
            // Exponential pauses: many independent users.
            double pause = -Math.log(1 - ThreadLocalRandom.current().nextDouble()) * 1_000 / PER_SECOND;
            Threads.sleep(Math.max(1, Math.min(400, (long) pause)));
        }
    }

    private void sendRequest(Daemon daemon) {
        String id = fleet.nextId();
        boolean unsafe = ThreadLocalRandom.current().nextInt(10) < 6;
        Client client;
        try {
            client = new Client(daemon.host, daemon.callers);
        } catch (IOException e) {
            return; // The daemon is down: the client tries another one.
        }
        try (client) {
            long at = record.millis();
            sent.incrementAndGet();
            client.send(unsafe ? "POST" : "GET", unsafe ? "/pago/x" : "/saldo/x", Fleet.headers(id), new byte[unsafe ? 600 : 0]);
            Client.Answer answer = client.read(Fleet.DEADLINE_MILLIS);
            long took = record.millis() - at;
            if (answer.served()) {
                served.incrementAndGet();
            }
            if (answer.complete()) {
                return;
            }
            boolean passedOn = fleet.runs.containsKey(id);
            String text = "request " + id + (unsafe ? " (unsafe)" : " (safe)") + " to " + daemon.name
                    + (daemon.stopping ? ", stopping" : "") + ": sent at " + at + " ms, after " + took + " ms "
                    + answer.text() + "; run by a server: " + passedOn;
            record.line(text);
            if (passedOn || took > LOSS_SLACK_MILLIS) {
                lost.add(text);
            }
        } catch (IOException e) {
            record.line("request " + id + " was not sent: " + e.getMessage());
        }
    }
}
