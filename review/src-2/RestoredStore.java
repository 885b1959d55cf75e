import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server leaves as some do, without reporting {@code draining}: its entry is removed, and it goes on serving for some
 * seconds. Then the store comes back from a copy in which the entry still stood. A daemon that had learned of the removal
 * may send that server nothing later than {@code drain_ms} after it.
 */
public final class RestoredStore implements Engine.Observer {
    private static final int DAEMONS = 2;
    private static final long DRAIN_MILLIS = 2_000;
    /** Time for which the leaving server goes on serving; then it exits. */
    private static final long SERVES_ON_MILLIS = 9_000;
    /** Time from the removal of the entry to the outage. */
    private static final long BEFORE_OUTAGE_MILLIS = 5_000;
    private static final long AWAY_MILLIS = 500;
    /** Time from the store's return until the leaving server has removed its entry again. */
    private static final long REMOVED_AGAIN_MILLIS = 1_500;
    private static final long CALM_MILLIS = 5_000;
    private static final long FIRST_EVENT_MILLIS = 150;
    private static final long EVENT_MILLIS = 100;
    private static final int EVENTS = 35;
    private static final long BETWEEN_REQUESTS_MILLIS = 170;
    private static final long DEADLINE_MILLIS = 10_000;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startedAt = System.nanoTime();
    private final List<String> record = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, Long> reachedLate = new ConcurrentHashMap<>();
    private final List<String> lost = Collections.synchronizedList(new ArrayList<>());
    private volatile Engine leaving;
    private volatile long learnedAt = Long.MAX_VALUE;

    private long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private void note(String text) {
        record.add(String.format("%7d ms  %s", now(), text));
    }

    @Override
    public void began(Engine engine, Http.Message request) {
        String attempt = request.header(Wire.ATTEMPT);
        note("request " + attempt + " reaches " + engine.id);
        if (engine == leaving && now() > learnedAt + DRAIN_MILLIS) {
            reachedLate.put(attempt, now());
        }
    }

    @Override
    public void ended(Engine engine, Http.Message request, String how) {
        note("its run at " + engine.id + " ends: " + request.header(Wire.ATTEMPT) + " " + how);
    }

    private int run() throws IOException {
        Store store = new Store("127.0.0.1", DAEMONS);
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            engines.add(new Engine("i-" + i, "127.0.0." + (40 + i), FIRST_EVENT_MILLIS, EVENT_MILLIS, EVENTS, this));
        }
        store.put(Wire.CONFIGURATION, Site.configuration(3));
        for (Engine engine : engines) {
            store.put("servers/" + engine.id, engine.entry());
        }
        Daemons daemons = new Daemons(store, DAEMONS);
        daemons.startAll();
        if (!daemons.awaitReady(30_000)) {
            note("the daemons have not become ready");
            return 2;
        }
        note("all daemons are ready");
        Thread traffic = Http.daemonThread(() -> traffic(daemons), "traffic");
        Waiting.sleep(CALM_MILLIS);

        Store.Copy copy = store.copy();
        Engine leaver = engines.get(2);
        leaver.leaving = true;
        long removal = store.delete("servers/" + leaver.id);
        long removedAt = now();
        note("the entry of " + leaver.id + " is removed at revision " + removal + "; it goes on serving");
        boolean taken = Waiting.until(
                4_000, () -> store.hasTaken(0, "servers/", removal) && store.hasTaken(1, "servers/", removal));
        if (!taken) {
            note("the daemons have not taken the removal");
            return 2;
        }
        learnedAt = now();
        leaving = leaver;
        note("both daemons have taken the removal and watch on from there");
        Waiting.sleep(removedAt + BEFORE_OUTAGE_MILLIS - now());
        if (trouble) {
            store.goDown();
            note("the store is away");
            Waiting.sleep(AWAY_MILLIS);
            store.restore(copy);
            note("the store is back from a copy that is " + (now() - removedAt) + " ms old and holds the entry");
            Waiting.sleep(REMOVED_AGAIN_MILLIS);
            store.delete("servers/" + leaver.id);
            note("the entry of " + leaver.id + " is removed again");
        }
        Waiting.sleep(removedAt + SERVES_ON_MILLIS - now());
        leaver.exit();
        note(leaver.id + " exits");
        Waiting.sleep(3_000);
        traffic.interrupt();
        stopping = true;
        Waiting.sleep(5_000);
        reachedLate.forEach((attempt, at) -> note("BROKEN: request " + attempt + " reached " + leaver.id + ", "
                + (at - learnedAt) + " ms after its daemon had taken the removal"));
        lost.stream()
                .filter(line -> reachedLate.containsKey(line.split(" ")[0]))
                .forEach(line -> note("LOST: " + line));
        daemons.end();
        return reachedLate.isEmpty() ? 0 : 1;
    }

    private volatile boolean stopping;

    private void traffic(Daemons daemons) {
        for (int i = 0; !stopping; i++) {
            Daemons.Daemon daemon = daemons.get(i % DAEMONS);
            String attempt = daemon.name + "-r" + i;
            Http.daemonThread(() -> request(daemon, attempt), attempt);
            try {
                Thread.sleep(BETWEEN_REQUESTS_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void request(Daemons.Daemon daemon, String attempt) {
        note("request " + attempt + " is sent");
        Client.Outcome outcome = Client.stream(daemon.host, daemon.front, Site.ONCE + "2f", attempt, DEADLINE_MILLIS);
        note("request " + attempt + " ends: " + outcome.seen());
        if (!outcome.whole()) {
            lost.add(attempt + " has no complete answer: " + outcome.seen());
        }
    }

    public static void main(String[] args) throws IOException {
        RestoredStore test = new RestoredStore();
        int result = test.run();
        test.note(result == 0 ? "the rule held" : result == 1 ? "the rule was broken" : "the case could not run");
        Files.write(Path.of(args[0]), List.copyOf(test.record));
        System.out.println(test.record.get(test.record.size() - 1));
        System.exit(result);
    }
}
