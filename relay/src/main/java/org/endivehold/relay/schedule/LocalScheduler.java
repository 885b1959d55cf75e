package org.endivehold.relay.schedule;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.AdmissionPolicy;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.EnginePlacement;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.state.FleetView;

/**
 * Decides on this daemon, from its own account of the engines.
 *
 * <p>A request starts by the {@link AdmissionPolicy}, or waits. Of those that wait the one goes first that brings the
 * most worth for an engine's time.
 */
public final class LocalScheduler implements EngineScheduler {
    /** Pause after which waiting requests are tried again even if nothing was heard, in milliseconds. */
    private static final int RETRY_MILLIS = 25;
    /** Requests that may wait. */
    private static final int MAX_WAITING = 2_000;
    /** Requests that are tried in one turn, so that a turn stays short. */
    private static final int MAX_TRIES = 8;
    /** Least time after which a refused caller may come back, in milliseconds. */
    private static final int RETRY_AFTER_MILLIS = 400;
    /** Further time for each request that waits, so that callers do not all come back together, in milliseconds. */
    private static final double RETRY_AFTER_EACH_MILLIS = 20;

    private final Vertx vertx;
    private final Ticker ticker;
    private final UniformRandomProvider random;
    private final FleetView fleet;
    private final UpstreamHealth health;
    private final EngineWork engines;
    private final CandidateFinder finder;
    private final Map<JobId, Waiting> waiting = new LinkedHashMap<>();
    private boolean scheduled;

    /** Creates a scheduler without requests. */
    public LocalScheduler(
            Vertx vertx,
            Ticker ticker,
            UniformRandomProvider random,
            FleetView fleet,
            UpstreamHealth health,
            EngineWork engines) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.random = random;
        this.fleet = fleet;
        this.health = health;
        this.engines = engines;
        this.finder = new CandidateFinder(fleet, health, engines, ticker);
        engines.onRoom(this::room);
    }

    /** A request that waits. */
    private record Waiting(EngineRequest request, EngineProfile profile, Listener listener, double since) {
        PromptNeed need(double now) {
            return request.need().after(now - since);
        }

        double readMillis() {
            return profile.readMillis(request.need().promptTokens(), 1);
        }

        double worthOfTime() {
            return EngineJob.weight(request.need().promptTokens()) / readMillis();
        }
    }

    @Override
    public void submit(EngineRequest request, Listener listener) {
        Optional<EngineProfile> profile = profile(request.service());
        if (profile.isEmpty() || hopeless(request, profile.get())) {
            listener.refused(RETRY_AFTER_MILLIS);
            return;
        }
        Waiting entry = new Waiting(request, profile.get(), listener, now());
        if (place(entry)) {
            return;
        }
        boolean enough = AdmissionPolicy.shouldRefuse(entry.readMillis(), request.need());
        if (!request.waits() || enough || waiting.size() >= MAX_WAITING) {
            listener.refused(retryAfterMillis(request.need()));
            return;
        }
        waiting.put(request.id(), entry);
        schedule(RETRY_MILLIS);
    }

    @Override
    public void withdraw(JobId id) {
        waiting.remove(id);
    }

    /** Tells whether a request waits here. */
    boolean waitsFor(JobId id) {
        return waiting.containsKey(id);
    }

    /** Drops all requests of a daemon that is gone. */
    public void withdrawAll(String daemon) {
        waiting.keySet().removeIf(id -> id.daemon().equals(daemon));
    }

    private double now() {
        return (double) ticker.millis();
    }

    private Optional<EngineProfile> profile(String service) {
        return fleet.table().flatMap(table -> table.service(service)).flatMap(RelayService::engine);
    }

    /** Tells whether the engines that are registered could never hold a prompt, if all of them were free. */
    private boolean hopeless(EngineRequest request, EngineProfile profile) {
        long most = profile.memoryTokens() * fleet.upstreams(request.service()).size();
        return request.need().memoryTokens() > most;
    }

    private boolean place(Waiting entry) {
        double now = now();
        PromptNeed need = entry.need(now);
        EngineRequest request = entry.request();
        Optional<Placement> found =
                EnginePlacement.place(engines.board(), finder.candidates(request, entry.profile()), need, now);
        if (found.isEmpty() || !AdmissionPolicy.admits(found.get(), need)) {
            return false;
        }
        Placement placement = found.get();
        EngineJob job = EngineJob.of(request.id(), placement, need);
        engines.board().add(job, now, health.pace(job.writer(), now));
        entry.listener().placed(job, placement);
        return true;
    }

    /** Tries the waiting requests soon: work has ended somewhere. */
    private void room() {
        if (!waiting.isEmpty()) {
            schedule(1);
        }
    }

    private double retryAfterMillis(PromptNeed need) {
        double spread = RETRY_AFTER_MILLIS + random.nextInt(RETRY_AFTER_MILLIS);
        double comeBack = AdmissionPolicy.retryAfterMillis(engines.board().meanPendingPrefillMillis(), need);
        return spread + comeBack + RETRY_AFTER_EACH_MILLIS * waiting.size();
    }

    private void schedule(int millis) {
        if (!scheduled) {
            scheduled = true;
            vertx.setTimer(millis, timer -> serve());
        }
    }

    private void serve() {
        scheduled = false;
        List<Waiting> order = new ArrayList<>(waiting.values());
        order.sort(Comparator.comparingDouble(Waiting::worthOfTime).reversed());
        int tries = 0;
        for (Waiting entry : order) {
            JobId id = entry.request().id();
            if (!waiting.containsKey(id)) {
                continue;
            }
            PromptNeed need = entry.need(now());
            if (tries < MAX_TRIES && place(entry)) {
                waiting.remove(id);
            } else if (AdmissionPolicy.shouldRefuse(entry.readMillis(), need)) {
                waiting.remove(id);
                entry.listener().refused(retryAfterMillis(need));
            }
            tries++;
        }
        if (!waiting.isEmpty()) {
            schedule(RETRY_MILLIS);
        }
    }
}
