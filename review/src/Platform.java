import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The platform's choice of a daemon for a new connection: asks each daemon once a second whether it is ready, takes it out after two
 * misses, uses all daemons of a zone when fewer than half of them are in rotation, and other zones when none is.
 */
final class Platform {
    private static final long POLL_MILLIS = 1_000;
    private static final int MAX_MISSES = 2;

    private final List<Daemon> daemons;
    private final Map<Daemon, Integer> misses = new HashMap<>();

    Platform(List<Daemon> daemons) {
        this.daemons = daemons;
        for (Daemon daemon : daemons) {
            misses.put(daemon, 0);
            Threads.daemon(() -> poll(daemon)).start();
        }
    }

    private void poll(Daemon daemon) {
        while (true) {
            boolean ready = daemon.ready();
            synchronized (this) {
                misses.merge(daemon, 1, (known, one) -> ready ? 0 : known + one);
                if (ready) {
                    misses.put(daemon, 0);
                }
            }
            Threads.sleep(POLL_MILLIS);
        }
    }

    private synchronized boolean inRotation(Daemon daemon) {
        return misses.get(daemon) < MAX_MISSES;
    }

    /** Returns the daemon that gets a new connection of a client in a zone. */
    Daemon choose(String zone) {
        List<Daemon> all = daemons.stream().filter(daemon -> daemon.zone.equals(zone)).toList();
        List<Daemon> ready = all.stream().filter(this::inRotation).toList();
        if (ready.isEmpty()) {
            List<Daemon> others = daemons.stream().filter(this::inRotation).toList();
            return pick(others).orElseGet(() -> pick(all).orElseThrow());
        }
        return pick(2 * ready.size() < all.size() ? all : ready).orElseThrow();
    }

    private static Optional<Daemon> pick(List<Daemon> from) {
        return from.isEmpty()
                ? Optional.empty()
                : Optional.of(from.get(ThreadLocalRandom.current().nextInt(from.size())));
    }
}
