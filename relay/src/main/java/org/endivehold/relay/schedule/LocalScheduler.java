package org.endivehold.relay.schedule;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineCandidate;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.EnginePlacement;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.engine.RoomForecast;
import org.endivehold.relay.engine.StartRule;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.room.LoggedClaims;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.share.EngineCost;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;

/**
 * Places requests at this daemon, based only on the jobs in its own tracker.
 *
 * <p>The shares of customers are counted from every job that the tracker learns of, whichever daemon placed it. So a
 * daemon that becomes the decider has the same counters as its predecessor, as far as it has been told of its jobs.
 *
 * <p>A request is sent if the {@link StartRule} admits it, otherwise it waits in the {@link Backlog}, which decides in
 * which order the waiting requests are tried again.
 */
public final class LocalScheduler implements EngineScheduler {
    /** Pause after which waiting requests are tried again even if no capacity was reported free, in milliseconds. */
    private static final int RETRY_MILLIS = 25;
    /** Maximum number of waiting requests. */
    private static final int MAX_WAITING = 2_000;
    /** Shortest time after which the caller of a refused request may retry, in milliseconds. */
    private static final int MIN_RETRY_AFTER_MILLIS = 400;
    /** Time added for each waiting request, so that callers do not all retry together, in milliseconds. */
    private static final double RETRY_AFTER_PER_WAITING_MILLIS = 20;

    /**
     * Share of the predicted time until room is free after which room may already be free: jobs are predicted to use
     * all the tokens that they asked for, and many end earlier.
     */
    private static final double EARLY_END_SHARE = 0.5;
    /**
     * Upper bound of each part of the expected time in a refusal, in milliseconds: longer predictions are unreliable.
     */
    private static final double MAX_EXPECTED_ROOM_MILLIS = 10_000;

    private final Vertx vertx;
    private final Ticker ticker;
    private final UniformRandomProvider random;
    private final FleetView fleet;
    private final UpstreamHealth health;
    private final JobReplicator jobs;
    private final CandidateFinder finder;
    private final Backlog backlog = new Backlog(MAX_WAITING);
    private final Backlog.Decisions decisions = new TurnDecisions();
    private final RoomClaims claims;
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
        this.claims = new PlannedRoom(
                jobs.tracker(), entry -> finder.candidates(entry.request(), entry.profile()), new LoggedClaims());
        jobs.onCapacityFreed(this::capacityFreed);
        jobs.tracker().onAdded(this::charge);
    }

    @Override
    public void submit(EngineRequest request, Listener listener) {
        Optional<EngineProfile> profile = profile(request.service());
        if (profile.isEmpty() || exceedsTotalMemory(request, profile.get())) {
            listener.explained(WaitReason.TOO_LARGE);
            listener.refused(MIN_RETRY_AFTER_MILLIS);
            return;
        }
        WaitingRequest entry = new WaitingRequest(request, profile.get(), listener, now());
        Optional<WaitReason> unplaced = Optional.empty();
        if (mayTryNow(entry)) {
            unplaced = tryPlace(entry);
            if (unplaced.isEmpty()) {
                return;
            }
        }
        Optional<WaitReason> refusal = refusal(entry, unplaced);
        if (refusal.isPresent()) {
            refuse(entry, refusal.get());
        } else {
            scheduleTurn(RETRY_MILLIS);
        }
    }

    /** Returns whether a search is made for a request at once: none is refused while engines may have room for it. */
    private boolean mayTryNow(WaitingRequest entry) {
        return !entry.request().mayWait()
                || !backlog.mustQueue(entry)
                || StartRule.shouldRefuse(entry.prefillMillis(), entry.request().need());
    }

    /** Lets a request wait, or returns why it is refused at once. */
    private Optional<WaitReason> refusal(WaitingRequest entry, Optional<WaitReason> unplaced) {
        if (!entry.request().mayWait()) {
            return Optional.of(WaitReason.NOT_AT_ONCE);
        }
        if (StartRule.shouldRefuse(entry.prefillMillis(), entry.request().need())) {
            return Optional.of(WaitReason.LATE);
        }
        if (entry.isClassed() && comesTooLate(entry)) {
            return Optional.of(WaitReason.NO_TIME);
        }
        return backlog.add(entry, unplaced) ? Optional.empty() : Optional.of(WaitReason.QUEUE_FULL);
    }

    /** Returns whether room for a request is predicted to come too late for its next event to be of use. */
    private boolean comesTooLate(WaitingRequest entry) {
        return EARLY_END_SHARE * millisUntilRoom(entry) > entry.request().need().eventBudgetMillis();
    }

    private double millisUntilRoom(WaitingRequest entry) {
        return RoomForecast.millisUntilRoom(
                jobs.tracker(), engines(entry), entry.request().need(), now());
    }

    private List<String> engines(WaitingRequest entry) {
        return fleet.upstreams(entry.request().service()).stream()
                .map(Upstream::id)
                .filter(id -> !entry.request().excluded().contains(id))
                .toList();
    }

    private void refuse(WaitingRequest entry, WaitReason reason) {
        claims.removed(entry.id(), now());
        double retryAfterMillis = entry.isClassed() ? expectedRoomMillis(entry) : defaultRetryAfterMillis(entry);
        entry.listener().explained(reason);
        entry.listener().refused(retryAfterMillis);
    }

    /**
     * Returns when a request of a class other than the default may come back: when room is expected and the requests
     * that are before it have been placed, with a random delay that grows with this time.
     */
    private double expectedRoomMillis(WaitingRequest entry) {
        int engines = Math.max(1, engines(entry).size());
        double room = Math.min(MAX_EXPECTED_ROOM_MILLIS, millisUntilRoom(entry));
        double ahead = Math.min(MAX_EXPECTED_ROOM_MILLIS, backlog.workAheadMillis(entry) / engines);
        double expected = room + ahead;
        return expected + MIN_RETRY_AFTER_MILLIS + random.nextDouble() * (MIN_RETRY_AFTER_MILLIS + expected / 2);
    }

    @Override
    public void withdraw(JobId id) {
        if (backlog.remove(id)) {
            claims.removed(id, now());
        }
    }

    /** Returns whether a request is waiting here. */
    boolean isWaiting(JobId id) {
        return backlog.contains(id);
    }

    /** Withdraws all requests that one run of a daemon submitted. */
    public void withdrawAll(String daemon) {
        backlog.submittedBy(daemon).forEach(this::withdraw);
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

    /** Places a request if engines suit it now; returns why not, empty if it was placed. */
    private Optional<WaitReason> tryPlace(WaitingRequest entry) {
        double now = now();
        PromptNeed need = entry.need(now);
        EngineRequest request = entry.request();
        List<EngineCandidate> candidates = claims.available(request, finder.candidates(request, entry.profile()), now);
        Optional<Placement> found = EnginePlacement.place(jobs.tracker(), candidates, need, now);
        if (found.isEmpty() || !StartRule.admits(found.get(), need)) {
            return Optional.of(found.isEmpty() ? WaitReason.NO_ENGINE : WaitReason.HARM);
        }
        backlog.reason(entry.id()).ifPresent(entry.listener()::explained);
        Placement placement = found.get();
        EngineJob job = EngineJob.of(request.id(), placement, need);
        jobs.tracker().add(job, now, health.slowdown(job.decodeEngine(), now));
        claims.removed(entry.id(), now);
        entry.listener().placed(job, placement);
        return Optional.empty();
    }

    /** Counts a job in the share of its customer, whichever daemon placed it. */
    private void charge(EngineJob job) {
        if (job.traffic().equals(TrafficClass.DEFAULT)) {
            return;
        }
        fleet.upstream(job.decodeEngine())
                .map(upstream -> upstream.entry().service())
                .ifPresent(service -> profile(service)
                        .ifPresent(
                                profile -> backlog.charge(service, job.traffic(), EngineCost.of(job, profile), now())));
    }

    /** Tries the waiting requests soon, since a job has finished its prefill or ended. */
    private void capacityFreed() {
        if (backlog.size() > 0) {
            scheduleTurn(1);
        }
    }

    private double defaultRetryAfterMillis(WaitingRequest entry) {
        double randomDelay = MIN_RETRY_AFTER_MILLIS + random.nextInt(MIN_RETRY_AFTER_MILLIS);
        double loadDelay = StartRule.retryAfterMillis(jobs.tracker().meanPendingPrefillMillis(), entry.need(now()));
        return randomDelay + loadDelay + RETRY_AFTER_PER_WAITING_MILLIS * backlog.size();
    }

    private void scheduleTurn(int millis) {
        if (!scheduled) {
            scheduled = true;
            vertx.setTimer(millis, timer -> runTurn());
        }
    }

    private void runTurn() {
        scheduled = false;
        Set<String> services = backlog.services();
        claims.claimants().forEach(id -> backlog.tryFirst(id, decisions));
        boolean again = backlog.runTurn(decisions);
        services.forEach(this::planRoom);
        if (backlog.size() > 0) {
            scheduleTurn(again ? 1 : RETRY_MILLIS);
        }
    }

    /** Keeps room for the first request that the turn could not place, or refuses it if room comes free too late. */
    private void planRoom(String service) {
        Optional<WaitingRequest> first = backlog.firstUnplaced(service);
        if (claims.turnEnded(service, first, now())) {
            first.filter(entry -> backlog.remove(entry.id())).ifPresent(entry -> refuse(entry, WaitReason.NO_TIME));
        }
    }

    /** Decides on the requests of a turn by the tracked jobs and the {@link StartRule}. */
    private final class TurnDecisions implements Backlog.Decisions {
        @Override
        public Optional<WaitReason> tryPlace(WaitingRequest entry) {
            return LocalScheduler.this.tryPlace(entry);
        }

        @Override
        public boolean mayClaimRoom(WaitingRequest entry) {
            return claims.mayClaim(entry);
        }

        @Override
        public boolean shouldRefuse(WaitingRequest entry) {
            return StartRule.shouldRefuse(entry.prefillMillis(), entry.need(now()));
        }

        @Override
        public void refuse(WaitingRequest entry, WaitReason reason) {
            LocalScheduler.this.refuse(entry, reason);
        }
    }
}
