package org.endivehold.relay.simulation;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.endivehold.misc.RendezvousHash;
import org.endivehold.relay.engine.EngineCandidate;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.EnginePlacement;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.JobTracker;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.engine.StartRule;
import org.endivehold.relay.limit.DaemonCount;
import org.endivehold.relay.schedule.Backlog;
import org.endivehold.relay.schedule.EngineDivision;
import org.endivehold.relay.schedule.EngineRequest;
import org.endivehold.relay.schedule.EngineScheduler;
import org.endivehold.relay.schedule.WaitReason;
import org.endivehold.relay.schedule.WaitingRequest;

/** A daemon that places requests with the production classes and learns of other daemons' jobs after a delay. */
final class SimulatedDaemon implements RequestDaemon {
    /** Pause after which waiting requests are tried again, as in the production scheduler. */
    private static final double RETRY_MILLIS = 25;
    /** Mean of the random time that the production scheduler adds before a refused caller may retry. */
    private static final double MEAN_RETRY_SPREAD_MILLIS = 600;

    private static final int MAX_FULL_MESH_SIZE = 9;
    private static final int MAX_WAITING = 2_000;
    private static final String SERVICE = "engines";

    private final String name;
    private final Simulation simulation;
    private final JobTracker tracker = new JobTracker();
    private final EngineDivision division = new EngineDivision(new KnownSimulatedDaemons());
    private final Backlog backlog = new Backlog(MAX_WAITING);
    private final Map<JobId, SimulatedRequest> waiting = new HashMap<>();
    private final Backlog.Decisions decisions = new TurnDecisions();
    private boolean scheduled;
    private boolean isolated;
    private long nextNumber;

    SimulatedDaemon(String name, Simulation simulation) {
        this.name = name;
        this.simulation = simulation;
        simulation.engines().forEach(engine -> tracker.registerEngine(engine.id(), engine.profile()));
    }

    /** Sets whether messages between this daemon and the others are lost. */
    void setIsolated(boolean value) {
        isolated = value;
    }

    @Override
    public void submit(SimulatedRequest request) {
        JobId id = new JobId(name, nextNumber++);
        EngineRequest submitted = new EngineRequest(id, SERVICE, request.need(), Set.of(), Set.of(), true);
        WaitingRequest entry = new WaitingRequest(
                submitted,
                Simulation.PROFILE,
                new NoListener(),
                simulation.time().now());
        waiting.put(id, request);
        Optional<WaitReason> unplaced = Optional.empty();
        if (!backlog.mustQueue(entry)) {
            unplaced = decisions.tryPlace(entry);
            if (unplaced.isEmpty()) {
                return;
            }
        }
        if (decisions.shouldRefuse(entry)) {
            decisions.refuse(entry, WaitReason.LATE);
        } else if (backlog.add(entry, unplaced)) {
            scheduleTurn(RETRY_MILLIS);
        } else {
            decisions.refuse(entry, WaitReason.QUEUE_FULL);
        }
    }

    @Override
    public void firstEvent(SimulatedRequest request) {
        JobId id = request.job().id();
        double now = simulation.time().now();
        tracker.firstToken(id, now);
        broadcast(other -> other.tracker.firstToken(id, now));
        scheduleTurn();
    }

    @Override
    public void ended(SimulatedRequest request) {
        withdraw(request);
        if (request.job() == null) {
            return;
        }
        JobId id = request.job().id();
        tracker.remove(id);
        broadcast(other -> {
            other.tracker.remove(id);
            other.scheduleTurn();
        });
        scheduleTurn();
    }

    private void withdraw(SimulatedRequest request) {
        List<JobId> ids = waiting.entrySet().stream()
                .filter(entry -> entry.getValue().equals(request))
                .map(Map.Entry::getKey)
                .toList();
        for (JobId id : ids) {
            waiting.remove(id);
            backlog.remove(id);
        }
    }

    private void broadcast(Consumer<SimulatedDaemon> message) {
        for (SimulatedDaemon other : simulation.daemons()) {
            if (other != this && !isolated && !other.isolated) {
                simulation.time().after(simulation.peerDelayMillis(), () -> message.accept(other));
            }
        }
    }

    private void scheduleTurn() {
        scheduleTurn(1);
    }

    private void scheduleTurn(double millis) {
        if (!scheduled && backlog.size() > 0) {
            scheduled = true;
            simulation.time().after(millis, this::runTurn);
        }
    }

    private void runTurn() {
        scheduled = false;
        boolean again = backlog.runTurn(decisions);
        scheduleTurn(again ? 1 : RETRY_MILLIS);
    }

    /** Decides as the production scheduler does. */
    private final class TurnDecisions implements Backlog.Decisions {
        @Override
        public Optional<WaitReason> tryPlace(WaitingRequest entry) {
            SimulatedRequest request = waiting.get(entry.id());
            PromptNeed need = request.need();
            Optional<Placement> found = EnginePlacement.place(
                    tracker, candidates(need.weight()), need, simulation.time().now());
            if (found.isEmpty() || !simulation.admits(found.get(), need)) {
                return Optional.of(found.isEmpty() ? WaitReason.NO_ENGINE : WaitReason.HARM);
            }
            waiting.remove(entry.id());
            place(entry.id(), request, found.get(), need);
            return Optional.empty();
        }

        @Override
        public boolean shouldRefuse(WaitingRequest entry) {
            PromptNeed need = waiting.get(entry.id()).need();
            return simulation.shouldRefuse(Simulation.PROFILE.prefillMillis(need.promptTokens(), 1), need);
        }

        @Override
        public void refuse(WaitingRequest entry, WaitReason reason) {
            SimulatedRequest request = waiting.remove(entry.id());
            request.refused(StartRule.retryAfterMillis(tracker.meanPendingPrefillMillis(), request.need())
                    + MEAN_RETRY_SPREAD_MILLIS);
        }
    }

    private static final class NoListener implements EngineScheduler.Listener {
        @Override
        public void placed(EngineJob job, Placement placement) {}

        @Override
        public void refused(double retryAfterMillis) {}
    }

    private List<EngineCandidate> candidates(double weight) {
        return simulation.engines().stream()
                .map(SimulatedEngine::id)
                .map(id -> new EngineCandidate(id, 1, weight * division.penalty(id), bias(id)))
                .toList();
    }

    /** The daemons of the fleet, of which this one hears those that messages reach. */
    private final class KnownSimulatedDaemons implements DaemonCount {
        @Override
        public String self() {
            return name;
        }

        @Override
        public Collection<String> names() {
            return simulation.daemons().stream().map(daemon -> daemon.name).toList();
        }

        @Override
        public int unknownDaemons() {
            return 0;
        }

        @Override
        public boolean usesFullMesh() {
            return simulation.daemons().size() <= MAX_FULL_MESH_SIZE;
        }

        @Override
        public boolean hears(String daemon) {
            return daemon.equals(name)
                    || simulation.daemons().stream()
                            .anyMatch(other -> other.name.equals(daemon) && !isolated && !other.isolated);
        }
    }

    private double bias(String engine) {
        return (RendezvousHash.rank(name, engine) >>> 1) / (double) Integer.MAX_VALUE;
    }

    private void place(JobId id, SimulatedRequest request, Placement placement, PromptNeed need) {
        double now = simulation.time().now();
        EngineJob job = EngineJob.of(id, placement, need);
        tracker.add(job, now, 1);
        broadcast(other -> other.tracker.add(job, now, 1));
        List<SimulatedEngine> chosen =
                placement.engines().stream().map(simulation::engine).toList();
        request.placed(job, chosen);
    }
}
