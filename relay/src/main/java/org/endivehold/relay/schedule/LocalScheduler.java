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
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.EnginePlacement;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.engine.StartRule;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.state.FleetView;

/**
 * Places requests at this daemon, based only on the jobs in its own tracker.
 *
 * <p>A request is sent if the {@link StartRule} admits it, otherwise it waits. Waiting requests are tried again in
 * descending order of weight per prefill time.
 */
public final class LocalScheduler implements EngineScheduler {
    /** Pause after which waiting requests are tried again even if no capacity was reported free, in milliseconds. */
    private static final int RETRY_MILLIS = 25;
    /** Maximum number of waiting requests. */
    private static final int MAX_WAITING = 2_000;
    /** Maximum number of requests for which engines are searched in one turn, to keep the event loop responsive. */
    private static final int MAX_TRIES = 8;
    /** Shortest time after which the caller of a refused request may retry, in milliseconds. */
    private static final int MIN_RETRY_AFTER_MILLIS = 400;
    /** Time added for each waiting request, so that callers do not all retry together, in milliseconds. */
    private static final double RETRY_AFTER_PER_WAITING_MILLIS = 20;

    private final Vertx vertx;
    private final Ticker ticker;
    private final UniformRandomProvider random;
    private final FleetView fleet;
    private final UpstreamHealth health;
    private final JobReplicator jobs;
    private final CandidateFinder finder;
    private final Map<JobId, WaitingRequest> waiting = new LinkedHashMap<>();
    private boolean scheduled;

    /** Creates a scheduler without requests. */
    public LocalScheduler(
            Vertx vertx,
            Ticker ticker,
            UniformRandomProvider random,
            FleetView fleet,
            UpstreamHealth health,
            JobReplicator jobs,
            EngineDivision division) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.random = random;
        this.fleet = fleet;
        this.health = health;
        this.jobs = jobs;
        this.finder = new CandidateFinder(fleet, health, jobs, division, ticker);
        jobs.onCapacityFreed(this::capacityFreed);
    }

    private record WaitingRequest(EngineRequest request, EngineProfile profile, Listener listener, double submittedAt) {
        PromptNeed need(double now) {
            return request.need().after(now - submittedAt);
        }

        double prefillMillis() {
            return profile.prefillMillis(request.need().promptTokens(), 1);
        }

        double weightPerPrefillMillis() {
            return request.need().weight() / prefillMillis();
        }
    }

    @Override
    public void submit(EngineRequest request, Listener listener) {
        Optional<EngineProfile> profile = profile(request.service());
        if (profile.isEmpty() || exceedsTotalMemory(request, profile.get())) {
            listener.refused(MIN_RETRY_AFTER_MILLIS);
            return;
        }
        WaitingRequest entry = new WaitingRequest(request, profile.get(), listener, now());
        if (tryPlace(entry)) {
            return;
        }
        boolean refuse = StartRule.shouldRefuse(entry.prefillMillis(), request.need());
        if (!request.mayWait() || refuse || waiting.size() >= MAX_WAITING) {
            listener.refused(retryAfterMillis(request.need()));
            return;
        }
        waiting.put(request.id(), entry);
        scheduleTurn(RETRY_MILLIS);
    }

    @Override
    public void withdraw(JobId id) {
        waiting.remove(id);
    }

    /** Returns whether a request is waiting here. */
    boolean isWaiting(JobId id) {
        return waiting.containsKey(id);
    }

    /** Withdraws all requests that one run of a daemon submitted. */
    public void withdrawAll(String daemon) {
        waiting.keySet().removeIf(id -> id.daemon().equals(daemon));
    }

    private double now() {
        return (double) ticker.millis();
    }

    private Optional<EngineProfile> profile(String service) {
        return fleet.table().flatMap(table -> table.service(service)).flatMap(RelayService::engine);
    }

    /** Returns whether a request needs more memory than all usable engines have in total. */
    private boolean exceedsTotalMemory(EngineRequest request, EngineProfile profile) {
        long capacity =
                profile.memoryTokens() * fleet.upstreams(request.service()).size();
        return request.need().memoryTokens() > capacity;
    }

    private boolean tryPlace(WaitingRequest entry) {
        double now = now();
        PromptNeed need = entry.need(now);
        EngineRequest request = entry.request();
        Optional<Placement> found =
                EnginePlacement.place(jobs.tracker(), finder.candidates(request, entry.profile()), need, now);
        if (found.isEmpty() || !StartRule.admits(found.get(), need)) {
            return false;
        }
        Placement placement = found.get();
        EngineJob job = EngineJob.of(request.id(), placement, need);
        jobs.tracker().add(job, now, health.slowdown(job.decodeEngine(), now));
        entry.listener().placed(job, placement);
        return true;
    }

    /** Tries the waiting requests soon, since a job has finished its prefill or ended. */
    private void capacityFreed() {
        if (!waiting.isEmpty()) {
            scheduleTurn(1);
        }
    }

    private double retryAfterMillis(PromptNeed need) {
        double randomDelay = MIN_RETRY_AFTER_MILLIS + random.nextInt(MIN_RETRY_AFTER_MILLIS);
        double loadDelay = StartRule.retryAfterMillis(jobs.tracker().meanPendingPrefillMillis(), need);
        return randomDelay + loadDelay + RETRY_AFTER_PER_WAITING_MILLIS * waiting.size();
    }

    private void scheduleTurn(int millis) {
        if (!scheduled) {
            scheduled = true;
            vertx.setTimer(millis, timer -> runTurn());
        }
    }

    private void runTurn() {
        scheduled = false;
        List<WaitingRequest> order = new ArrayList<>(waiting.values());
        order.sort(Comparator.comparingDouble(WaitingRequest::weightPerPrefillMillis)
                .reversed());
        int tries = 0;
        for (WaitingRequest entry : order) {
            JobId id = entry.request().id();
            if (!waiting.containsKey(id)) {
                continue;
            }
            PromptNeed need = entry.need(now());
            if (tries < MAX_TRIES && tryPlace(entry)) {
                waiting.remove(id);
            } else if (StartRule.shouldRefuse(entry.prefillMillis(), need)) {
                waiting.remove(id);
                entry.listener().refused(retryAfterMillis(need));
            }
            tries++;
        }
        if (!waiting.isEmpty()) {
            scheduleTurn(RETRY_MILLIS);
        }
    }
}
