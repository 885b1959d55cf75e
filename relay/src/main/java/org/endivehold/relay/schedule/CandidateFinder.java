package org.endivehold.relay.schedule;

import java.util.ArrayList;
import java.util.List;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineCandidate;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;

/** Finds the engines that may be chosen for a request, with a penalty for those that are cold or failing. */
final class CandidateFinder {
    /** Cost of sending a prompt to a cold engine, relative to the weight of the request. */
    private static final double COLD_PENALTY = 0.5;
    /**
     * Cost of sending a prompt to an engine whose recent requests all failed, relative to the weight of the request.
     */
    private static final double FAILING_PENALTY = 1.5;

    private final FleetView fleet;
    private final UpstreamHealth health;
    private final JobReplicator jobs;
    private final EngineDivision division;
    private final Ticker ticker;

    CandidateFinder(
            FleetView fleet, UpstreamHealth health, JobReplicator jobs, EngineDivision division, Ticker ticker) {
        this.fleet = fleet;
        this.health = health;
        this.jobs = jobs;
        this.division = division;
        this.ticker = ticker;
    }

    /**
     * Returns the engines that may be chosen, and registers them with the job tracker. Ejected engines are returned
     * only if there is no other.
     */
    List<EngineCandidate> candidates(EngineRequest request, EngineProfile profile) {
        double now = ticker.millis();
        double weight = request.need().weight();
        List<EngineCandidate> usable = new ArrayList<>();
        List<EngineCandidate> ejected = new ArrayList<>();
        for (Upstream upstream : fleet.upstreams(request.service())) {
            String id = upstream.id();
            boolean cold = upstream.cold(now);
            if (request.excluded().contains(id)
                    || (cold && !request.allowedCold().contains(id))) {
                continue;
            }
            jobs.tracker().registerEngine(id, profile);
            double penalty = weight
                    * (FAILING_PENALTY * health.failureRate(id, now)
                            + (cold ? COLD_PENALTY : 0)
                            + division.penalty(id));
            EngineCandidate candidate = new EngineCandidate(id, health.slowdown(id, now), penalty, jobs.bias(id));
            (health.ejected(id, now) ? ejected : usable).add(candidate);
        }
        return usable.isEmpty() ? ejected : usable;
    }
}
