package org.endivehold.relay.path;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * Watches the paths from this daemon to the upstreams: learns from the connections of requests, probes where they leave
 * a doubt or after a loss, and says which services this daemon does not reach.
 */
public final class PathMonitor {
    /** Interval at which lost paths are probed, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 300;
    /** Upstreams that are probed at once. */
    private static final int PROBES = 2;
    /** Time after an attempt until a single lost path is probed, in milliseconds; it doubles with each failure. */
    private static final double MIN_PROBE_PAUSE_MILLIS = 300;
    /** Longest time until a single lost path is probed again, in milliseconds. */
    private static final double MAX_PROBE_PAUSE_MILLIS = 2_400;
    /** Time for which a request waits until doubted paths are told from a failed upstream, in milliseconds. */
    private static final long SETTLE_MILLIS = 30;

    private static final Logger log = Logger.getLogger(PathMonitor.class);

    private final Vertx vertx;
    private final Ticker ticker;
    private final UniformRandomProvider random;
    private final FleetView fleet;
    private final PathProbe probe;
    private final UpstreamPaths paths = new UpstreamPaths();
    private final List<Runnable> waiting = new ArrayList<>();
    private Consumer<Set<String>> onChange = lost -> {};
    private Set<String> lostServices = Set.of();
    private UpstreamPaths.State loggedState = UpstreamPaths.State.OPEN;
    private Optional<Upstream> lastReached = Optional.empty();

    /** Creates a monitor; {@link #start} starts its probes. */
    public PathMonitor(Vertx vertx, Ticker ticker, UniformRandomProvider random, FleetView fleet, PathProbe probe) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.random = random;
        this.fleet = fleet;
        this.probe = probe;
    }

    /**
     * Starts to probe lost paths.
     *
     * @param listener is given the services that are not reached from here, at each change
     */
    public void start(Consumer<Set<String>> listener) {
        onChange = listener;
        vertx.setPeriodic(PROBE_INTERVAL_MILLIS, timer -> tick());
    }

    private double now() {
        return (double) ticker.millis();
    }

    /** Records that a connection to an upstream was opened. */
    public void recordReached(Upstream upstream) {
        lastReached = Optional.of(upstream);
        if (isUndisturbed()) {
            return;
        }
        paths.recordReached(key(upstream), fleet.upstreams().size(), now());
        changed();
    }

    /** Records that no connection to an upstream could be opened; probes others if that leaves a doubt. */
    public void recordUnreached(Upstream upstream) {
        boolean doubted = paths.state(now()) == UpstreamPaths.State.DOUBTED;
        paths.recordUnreached(key(upstream), fleet.upstreams().size(), now());
        if (!doubted && paths.state(now()) == UpstreamPaths.State.DOUBTED) {
            probeOthers();
        }
        changed();
    }

    private void probeOthers() {
        List<Upstream> others = new ArrayList<>(fleet.upstreams());
        others.removeIf(this::isLost);
        probeSome(others, PROBES);
    }

    /** Probes some of the upstreams, chosen at random. */
    private void probeSome(List<Upstream> candidates, int count) {
        for (int i = 0; i < count && !candidates.isEmpty(); i++) {
            probe(candidates.remove(random.nextInt(candidates.size())));
        }
    }

    private Future<Boolean> probe(Upstream upstream) {
        return probe.reaches(upstream.entry().address()).onSuccess(reached -> {
            if (reached) {
                recordReached(upstream);
            } else {
                recordUnreached(upstream);
            }
        });
    }

    private void tick() {
        if (isUndisturbed()) {
            return;
        }
        Collection<Upstream> upstreams = fleet.upstreams();
        paths.retain(upstreams.stream().map(PathMonitor::key).toList());
        UpstreamPaths.State state = paths.state(now());
        if (state == UpstreamPaths.State.OPEN) {
            upstreams.stream()
                    .filter(upstream -> isProbeDue(upstream))
                    .sorted(Comparator.comparingDouble(upstream -> -paths.sinceFailureMillis(key(upstream), now())))
                    .limit(PROBES)
                    .forEach(this::probe);
        } else {
            probeSome(new ArrayList<>(upstreams), PROBES);
        }
        changed();
    }

    /** Returns whether there is nothing to probe, to tell or to log. */
    private boolean isUndisturbed() {
        return paths.isUndisturbed(now()) && lostServices.isEmpty() && loggedState == UpstreamPaths.State.OPEN;
    }

    private boolean isProbeDue(Upstream upstream) {
        String key = key(upstream);
        double pause = MIN_PROBE_PAUSE_MILLIS * (1 << Math.min(paths.failures(key) - 1, 8));
        return paths.isLost(key) && paths.sinceFailureMillis(key, now()) >= Math.min(MAX_PROBE_PAUSE_MILLIS, pause);
    }

    /** Completes with whether this daemon reaches any other upstream than the one at an address. */
    public Future<Boolean> reachesOtherThan(SocketAddress address) {
        List<Upstream> others = new ArrayList<>(fleet.upstreams());
        others.removeIf(upstream -> upstream.entry().address().equals(address));
        if (others.isEmpty()) {
            return Future.succeededFuture(true);
        }
        Upstream other =
                lastReached.filter(others::contains).orElseGet(() -> others.get(random.nextInt(others.size())));
        return probe(other);
    }

    /** Returns whether the paths are neither lost nor in doubt. */
    public boolean areOpen() {
        UpstreamPaths.State state = paths.state(now());
        return state == UpstreamPaths.State.OPEN || state == UpstreamPaths.State.RETURNING;
    }

    /** Returns whether a request to a service should be sent from here, if another daemon reaches the service. */
    public boolean prefersLocal(String service) {
        if (paths.isUndisturbed(now())) {
            return true;
        }
        double share = paths.localShare(keys(service), now());
        return share >= 1 || random.nextDouble() < share;
    }

    /** Returns whether requests of other daemons to a service can be sent from here. */
    public boolean reaches(String service) {
        return paths.isUndisturbed(now()) || paths.localShare(keys(service), now()) > 0;
    }

    /** Returns whether no upstream of a service is reached from here. */
    public boolean isCutOff(String service) {
        return !paths.isUndisturbed(now()) && paths.isCutOff(keys(service), now());
    }

    private static String key(Upstream upstream) {
        return upstream.id() + "@" + upstream.entry().startedAtMillis();
    }

    private List<String> keys(String service) {
        return fleet.upstreams(service).stream().map(PathMonitor::key).toList();
    }

    /** Returns whether the path to one upstream is lost. */
    public boolean isLost(Upstream upstream) {
        return !paths.isUndisturbed(now()) && paths.isLost(key(upstream));
    }

    /** Returns the ids of a service's upstreams that are not reached from here; none if that is all of them. */
    public Set<String> avoidedUpstreams(String service) {
        if (paths.isUndisturbed(now())) {
            return Set.of();
        }
        Collection<Upstream> all = fleet.upstreams(service);
        Set<String> lost = new HashSet<>();
        for (Upstream upstream : all) {
            if (isLost(upstream)) {
                lost.add(upstream.id());
            }
        }
        return lost.size() == all.size() ? Set.of() : lost;
    }

    /** Runs an action as soon as doubted paths are known to be open or lost, or after a short time. */
    public void whenSettled(Runnable action) {
        if (paths.state(now()) != UpstreamPaths.State.DOUBTED) {
            action.run();
            return;
        }
        waiting.add(action);
        vertx.setTimer(SETTLE_MILLIS, timer -> {
            if (waiting.remove(action)) {
                action.run();
            }
        });
    }

    /** Returns the services that are not reached from here. */
    public Set<String> lostServices() {
        return lostServices;
    }

    private void changed() {
        UpstreamPaths.State state = paths.state(now());
        logChange(state);
        if (state == UpstreamPaths.State.DOUBTED) {
            return;
        }
        List<Runnable> settled = List.copyOf(waiting);
        waiting.clear();
        settled.forEach(Runnable::run);
        Set<String> lost = new HashSet<>();
        for (String service : fleet.services()) {
            if (!reaches(service)) {
                lost.add(service);
            }
        }
        if (!lost.equals(lostServices)) {
            lostServices = lost;
            onChange.accept(lost);
        }
    }

    private void logChange(UpstreamPaths.State state) {
        boolean told = state == loggedState || state == UpstreamPaths.State.DOUBTED;
        if (told || (state == UpstreamPaths.State.OPEN && loggedState == UpstreamPaths.State.DOUBTED)) {
            return;
        }
        loggedState = state;
        Collection<Upstream> upstreams = fleet.upstreams();
        long unreached = upstreams.stream().filter(this::isLost).count();
        LogEvent.of("paths-changed")
                .with("state", state)
                .with("upstreams", upstreams.size())
                .with("unreached", unreached)
                .with("last_reached", lastReached.map(Upstream::id).orElse("-"))
                .info(log);
    }
}
