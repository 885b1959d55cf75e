import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/** Independent clients of the plain routes: each sends one request on a new connection, at the daemon that the platform picks. */
final class Traffic {
    /** One request and what became of it; times in milliseconds since the start of the run. */
    record Sent(String id, Daemon daemon, boolean unsafe, long at, long took, Client.Answer answer) {
        /** Returns whether the client had no final answer some milliseconds after it had sent the request. */
        boolean unansweredAt(long millis) {
            return !answer.complete() && answer.why().equals(Client.NO_ANSWER) ? took >= millis : took > millis;
        }

        String text() {
            return "request " + id + (unsafe ? " (unsafe)" : " (safe)") + " to " + daemon.name + ": sent at " + at
                    + " ms, after " + took + " ms " + answer.text();
        }
    }

    /** When the client of each request closed its connection, in milliseconds of the JVM's clock. */
    private final Map<String, Long> closedAt = new ConcurrentHashMap<>();

    final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
    private final Fleet fleet;
    private final Record record;
    private volatile boolean stopped;

    Traffic(Fleet fleet, Record record) {
        this.fleet = fleet;
        this.record = record;
    }

    /** Sends requests at a mean rate until {@link #stop}, with exponential pauses. */
    void start(int perSecond, Supplier<Daemon> daemons) {
        Threads.daemon(() -> {
                    while (!stopped) {
                        Threads.daemon(() -> send(daemons.get())).start();
                        double pause = -Math.log(1 - ThreadLocalRandom.current().nextDouble()) * 1_000 / perSecond;
                        Threads.sleep(Math.max(1, Math.min(400, (long) pause)));
                    }
                })
                .start();
    }

    void stop() {
        stopped = true;
    }

    /** Sends one request and waits for its answer until the client's deadline. */
    Sent send(Daemon daemon) {
        String id = fleet.nextId();
        boolean unsafe = ThreadLocalRandom.current().nextInt(10) < 6;
        long at = record.millis();
        Client.Answer answer;
        try (Client client = new Client(daemon.host, daemon.callers)) {
            String path = unsafe ? "/pago/x" : "/saldo/x";
            client.send(unsafe ? "POST" : "GET", path, Fleet.headers(id), new byte[unsafe ? 600 : 0]);
            answer = client.read(Fleet.DEADLINE_MILLIS);
        } catch (IOException e) {
            answer = new Client.Answer(0, false, Map.of(), new byte[0], "not connected: " + e.getMessage());
        }
        closedAt.put(id, System.nanoTime() / 1_000_000);
        Sent done = new Sent(id, daemon, unsafe, at, record.millis() - at, answer);
        sent.add(done);
        record.line(done.text() + "; runs: " + fleet.runCount(id));
        return done;
    }

    /**
     * Checks the rule CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no answer half a
     * second later. Returns whether it holds.
     */
    boolean checkTimeouts(String what, List<Sent> requests) {
        long late = requests.stream()
                .filter(request -> request.unansweredAt(Fleet.TIMEOUT_MILLIS))
                .count();
        long broken = requests.stream()
                .filter(request -> request.unansweredAt(Fleet.TIMEOUT_MILLIS + 500))
                .count();
        long never = requests.stream()
                .filter(request -> request.unansweredAt(Fleet.DEADLINE_MILLIS))
                .count();
        record.say(what + ": " + requests.size() + " requests, unanswered at the route's timeout_ms " + late
                + ", half a second later " + broken + ", at the client's deadline " + never);
        return late < MIN_LATE || 2 * broken <= late;
    }

    /** Says how many requests reached a server after their clients had gone, beside the rule that is checked (GONE). */
    void sayGone() {
        long gone = 0;
        long unsafe = 0;
        for (Sent request : sent) {
            Long reached = fleet.reachedAt.get(request.id());
            if (reached != null && reached > closedAt.get(request.id()) + 500) {
                gone++;
                unsafe += request.unsafe() ? 1 : 0;
                record.line("request " + request.id() + " reached a server "
                        + (reached - closedAt.get(request.id())) + " ms after its client had closed");
            }
        }
        record.say("requests that reached a server over 500 ms after their client had closed: " + gone + ", unsafe ones "
                + unsafe);
    }

    /** Requests that have to be late before the rule is checked: a single one says little. */
    private static final int MIN_LATE = 5;
}
