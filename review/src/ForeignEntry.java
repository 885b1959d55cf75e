import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves an entry under servers/ whose bytes can't be read. Afterwards the servers are replaced one by one, in
 * three releases: each reports that it is draining, and its successor registers. No request may reach a server later than drain_ms after that.
 */
final class ForeignEntry {
    private static final long DRAIN_MILLIS = 2_000;
    /** Time for which a server goes on after drain_ms before it exits, in milliseconds. */
    private static final long LINGER_MILLIS = 1_500;

    /** Objects in one another that the unreadable entry opens and doesn't close; its bytes are no JSON document. */
    private static final int NESTED_OBJECTS = 1_000;
    private static final int PER_SECOND = 20;
    private static final long WORK_MILLIS = 43;
    /** Servers of the service; three releases replace two, two and one of them: a share of 0.4 at most each. */
    private static final int SERVERS = 5;

    private static final int RELEASED_TOGETHER = 2;
    /** Pause between two servers of a release, in milliseconds. */
    private static final long GAP_MILLIS = 1_000;
    /** Pause between two releases, in milliseconds. */
    private static final long RELEASE_PAUSE_MILLIS = 3_000;

    private final Record record;
    private final Fleet fleet;
    private final Map<String, Long> drainingAt = new ConcurrentHashMap<>();
    private final AtomicInteger late = new AtomicInteger();

    private ForeignEntry(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] args) throws IOException {
        Case.run(args, (trouble, record, fleet) -> new ForeignEntry(record, fleet).run(trouble));
    }

    private boolean run(boolean trouble) throws IOException {
        List<String> zones = List.of("bogota-a", "bogota-b", "bogota-c");
        for (String zone : zones) {
            fleet.addDaemon(zone);
        }
        for (int i = 0; i < SERVERS; i++) {
            watchArrivals(fleet.addServer("i-old-" + i, zones.get(i % zones.size()), WORK_MILLIS));
        }
        List<Server> old = List.copyOf(fleet.servers);
        fleet.start();
        Platform platform = new Platform(fleet.daemons);
        Traffic traffic = new Traffic(fleet, record);
        zones.forEach(zone -> traffic.start(PER_SECOND, () -> platform.choose(zone)));
        Threads.sleep(4_000);
        if (trouble) {
            String unreadable = "{\"a\":".repeat(NESTED_OBJECTS);
            fleet.store.put("servers/i-other", unreadable);
            record.line("another writer has written servers/i-other: " + unreadable.length() + " bytes that can't be read");
        }
        Threads.sleep(4_000);
        for (int i = 0; i < SERVERS; i++) {
            replace(old.get(i), i, zones.get(i % zones.size()));
            boolean lastOfRelease = i % RELEASED_TOGETHER == RELEASED_TOGETHER - 1;
            Threads.sleep(lastOfRelease ? RELEASE_PAUSE_MILLIS : GAP_MILLIS);
        }
        Threads.sleep(DRAIN_MILLIS + LINGER_MILLIS + 1_000);
        long from = record.millis();
        record.line("all old servers have ended, the new ones are registered");
        Threads.sleep(6_000);
        traffic.stop();
        Threads.sleep(3_000);
        List<Traffic.Sent> last =
                traffic.sent.stream().filter(request -> request.at() >= from).toList();
        long served = last.stream().filter(request -> request.answer().served()).count();
        record.say("requests that reached a server later than drain_ms after its report was accepted: " + late);
        record.say("after the release: " + last.size() + " requests, served " + served);
        return late.get() == 0;
    }

    /** Notes the requests that reach a server later than drain_ms after the store accepted that it is draining. */
    private void watchArrivals(Server server) {
        Server.Handler sound = fleet.sound(WORK_MILLIS);
        server.handler((request, out) -> {
            Long at = drainingAt.get(server.id);
            if (at != null && record.millis() > at + DRAIN_MILLIS) {
                late.incrementAndGet();
                record.line("request " + request.id() + " reaches " + server.id + " " + (record.millis() - at)
                        + " ms after its report was accepted");
            }
            return sound.answer(request, out);
        });
    }

    private void replace(Server old, int number, String zone) throws IOException {
        fleet.addServer("i-new-" + number, zone, WORK_MILLIS);
        fleet.store.put("servers/" + old.id, old.entry(Fleet.SERVICE, zone, 6, "draining"));
        drainingAt.put(old.id, record.millis());
        record.line(old.id + " is draining, i-new-" + number + " is ready");
        Threads.daemon(() -> end(old)).start();
    }

    private void end(Server old) {
        Threads.sleep(DRAIN_MILLIS + LINGER_MILLIS);
        try {
            fleet.store.delete("servers/" + old.id);
            old.close();
            record.line(old.id + " has ended");
        } catch (IOException e) {
            record.line(old.id + " did not end: " + e.getMessage());
        }
    }
}
