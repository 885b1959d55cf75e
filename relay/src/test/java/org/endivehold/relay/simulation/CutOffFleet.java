package org.endivehold.relay.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.relay.path.Neighbours;
import org.endivehold.relay.path.PathPeers;
import org.endivehold.relay.path.UpstreamPaths;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMessage;

/**
 * Simulates daemons of three zones before upstreams of one service, some of which lose their links to all upstreams for
 * a time. Each request is sent from where it arrived or by way of another daemon, as the daemon's own
 * {@link UpstreamPaths} and {@link Neighbours} decide.
 *
 * <p>Daemons of a small fleet are all connected; in a large fleet, the first three are coordinators to which all others
 * are connected. Messages are late and may be lost.
 */
final class CutOffFleet {
    /** What happens to new connections of a daemon that is cut off. */
    enum Cut {
        SILENT,
        REFUSED
    }

    private static final String SERVICE = "s";
    private static final int ZONES = 3;
    private static final int MAX_FULL_MESH_SIZE = 9;
    private static final int COORDINATORS = 3;
    private static final int MAX_OFFERS = 4;
    private static final int PROBES = 2;
    private static final double CONNECT_TIMEOUT_MILLIS = 400;
    private static final double PROBE_TIMEOUT_MILLIS = 200;
    private static final double PROBE_INTERVAL_MILLIS = 300;
    private static final double MAINTENANCE_MILLIS = 500;
    private static final double HOP_MILLIS = 3;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final double lossRate;
    private final Cut cut;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<String> upstreams = new ArrayList<>();
    private final List<Request> requests = new ArrayList<>();

    /** One request: where it came, when, and what became of it. */
    private static final class Request {
        private final Daemon daemon;
        private final double at;
        private final Set<String> asked = new HashSet<>();
        private boolean served;
        private boolean forwarded;
        private double endedAt;

        Request(Daemon daemon, double at) {
            this.daemon = daemon;
            this.at = at;
        }
    }

    CutOffFleet(int daemonCount, int upstreamCount, Cut cut, double lossRate, long seed) {
        this.random = new Random(seed);
        this.lossRate = lossRate;
        this.cut = cut;
        for (int i = 0; i < upstreamCount; i++) {
            upstreams.add("u" + i);
        }
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(new Daemon(i, seed));
        }
        daemons.forEach(daemon -> every(PROBE_INTERVAL_MILLIS, daemon::probeLost));
        daemons.forEach(daemon -> every(MAINTENANCE_MILLIS, daemon.neighbours::runMaintenance));
    }

    private void every(double millis, Runnable action) {
        time.after(millis, () -> {
            action.run();
            every(millis, action);
        });
    }

    private final class Daemon implements PathPeers {
        private final int index;
        private final DaemonEntry entry;
        private final UpstreamPaths paths = new UpstreamPaths();
        private final Neighbours neighbours;
        private boolean cutOff;
        private boolean up = true;
        private boolean reportedLost;
        private int running;
        private int mostRunning;

        Daemon(int index, long seed) {
            this.index = index;
            this.entry = new DaemonEntry("d" + index, "h" + index, 1, "z" + index % ZONES, 1);
            this.neighbours =
                    new Neighbours(() -> (long) time.now(), RandomSource.SPLIT_MIX_64.create(seed + index), this);
        }

        @Override
        public DaemonEntry self() {
            return entry;
        }

        @Override
        public Collection<DaemonEntry> others() {
            return daemons.stream()
                    .filter(other -> other != this)
                    .map(other -> other.entry)
                    .toList();
        }

        @Override
        public void spread(PeerMessage message) {
            boolean small = daemons.size() <= MAX_FULL_MESH_SIZE;
            for (Daemon other : daemons) {
                if (other != this && (small || index < COORDINATORS || other.index < COORDINATORS)) {
                    deliver(message, other);
                }
            }
        }

        @Override
        public void passOn(PeerMessage message) {
            if (daemons.size() > MAX_FULL_MESH_SIZE && index < COORDINATORS) {
                spread(message);
            }
        }

        private void deliver(PeerMessage message, Daemon to) {
            if (random.nextDouble() >= lossRate) {
                time.after(5 + random.nextInt(25), () -> to.neighbours.handle(message));
            }
        }

        /** Tries to open a connection; runs one of the actions when the result is known. */
        private void connect(String upstream, double timeoutMillis, Runnable opened, Runnable failed) {
            double failsAfter = cut == Cut.SILENT ? timeoutMillis : HOP_MILLIS;
            if (cutOff) {
                time.after(failsAfter, () -> {
                    boolean doubted = paths.state(time.now()) == UpstreamPaths.State.DOUBTED;
                    paths.recordUnreached(upstream, upstreams.size(), time.now());
                    if (!doubted && paths.state(time.now()) == UpstreamPaths.State.DOUBTED) {
                        probe(upstreams);
                    }
                    reportChange();
                    failed.run();
                });
            } else {
                time.after(HOP_MILLIS, () -> {
                    paths.recordReached(upstream, upstreams.size(), time.now());
                    reportChange();
                    opened.run();
                });
            }
        }

        private void probe(List<String> candidates) {
            for (int i = 0; i < PROBES && !candidates.isEmpty(); i++) {
                String upstream = candidates.get(random.nextInt(candidates.size()));
                connect(upstream, PROBE_TIMEOUT_MILLIS, () -> {}, () -> {});
            }
        }

        private void probeLost() {
            boolean open = paths.state(time.now()) == UpstreamPaths.State.OPEN;
            probe(open ? upstreams.stream().filter(paths::isLost).toList() : upstreams);
            reportChange();
        }

        private boolean reaches() {
            return paths.localShare(upstreams, time.now()) > 0;
        }

        private void reportChange() {
            boolean lost = !reaches() && paths.state(time.now()) != UpstreamPaths.State.DOUBTED;
            if (lost != reportedLost) {
                reportedLost = lost;
                neighbours.report(lost ? Set.of(SERVICE) : Set.of());
            }
        }

        void serve(Request request, boolean mayForward) {
            boolean local = random.nextDouble() < paths.localShare(upstreams, time.now());
            if (mayForward && !local) {
                forward(request);
                return;
            }
            running++;
            mostRunning = Math.max(mostRunning, running);
            connect(
                    upstreams.get(random.nextInt(upstreams.size())),
                    CONNECT_TIMEOUT_MILLIS,
                    () -> time.after(100, () -> {
                        running--;
                        request.served = true;
                        request.endedAt = time.now();
                    }),
                    () -> {
                        running--;
                        request.daemon.forward(request);
                    });
        }

        private void forward(Request request) {
            Optional<DaemonEntry> next =
                    request.asked.size() < MAX_OFFERS ? neighbours.choose(SERVICE, request.asked) : Optional.empty();
            if (next.isEmpty()) {
                request.endedAt = time.now();
                return;
            }
            request.forwarded = true;
            request.asked.add(next.get().name());
            Daemon other = daemons.get(Integer.parseInt(next.get().name().substring(1)));
            neighbours.begun(other.entry.name());
            time.after(2 * HOP_MILLIS, () -> {
                neighbours.ended(other.entry.name());
                if (other.up && other.reaches()) {
                    other.serve(request, false);
                } else {
                    neighbours.declined(other.entry.name());
                    forward(request);
                }
            });
        }
    }

    /** Cuts daemons off from all upstreams for a time; all times in milliseconds. */
    CutOffFleet cutOff(Collection<Integer> indices, double from, double to) {
        for (int index : indices) {
            time.after(from, () -> daemons.get(index).cutOff = true);
            time.after(to, () -> daemons.get(index).cutOff = false);
        }
        return this;
    }

    /** Ends a daemon at a time, without a word. */
    CutOffFleet kill(int index, double at) {
        time.after(at, () -> daemons.get(index).up = false);
        return this;
    }

    /** Sends requests to each daemon at a rate a second. */
    CutOffFleet load(double perSecond, double millis) {
        for (Daemon daemon : daemons) {
            double at = 0;
            while (at < millis) {
                at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
                Request request = new Request(daemon, at);
                requests.add(request);
                time.after(at, () -> daemon.serve(request, true));
            }
        }
        return this;
    }

    CutOffFleet run(double millis) {
        time.runUntil(millis);
        return this;
    }

    /** Returns the share of the requests that came to some daemons in a time and were served. */
    double servedShare(Collection<Integer> indices, double from, double to) {
        List<Request> all = sent(indices, from, to);
        return all.stream().filter(request -> request.served).count() / (double) all.size();
    }

    /** Returns the share of the requests that came to some daemons in a time and went by way of another one. */
    double forwardedShare(Collection<Integer> indices, double from, double to) {
        List<Request> all = sent(indices, from, to);
        return all.stream().filter(request -> request.forwarded).count() / (double) all.size();
    }

    /** Returns the longest time that a request took which came to some daemons in a time. */
    double longestMillis(Collection<Integer> indices, double from, double to) {
        return sent(indices, from, to).stream()
                .mapToDouble(request -> request.endedAt - request.at)
                .max()
                .orElse(0);
    }

    private List<Request> sent(Collection<Integer> indices, double from, double to) {
        return requests.stream()
                .filter(request -> request.at >= from && request.at < to)
                .filter(request -> indices.contains(request.daemon.index) && request.daemon.up)
                .toList();
    }

    /** Returns the most requests that one daemon ran at the same time. */
    int mostRunning() {
        return daemons.stream().mapToInt(daemon -> daemon.mostRunning).max().orElse(0);
    }
}
