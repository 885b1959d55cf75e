package org.endivehold.relay.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.endivehold.misc.Rendezvous;
import org.endivehold.relay.engine.AdmissionPolicy;
import org.endivehold.relay.engine.EngineCandidate;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.EnginePlacement;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.JobTracker;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;

/** A daemon that decides with the real classes, and hears of the others' requests some time later. */
final class SimulatedDaemon {
    private static final double RETRY_MILLIS = 25;
    private static final double SPREAD_MILLIS = 600;

    private final String name;
    private final Simulation simulation;
    private final JobTracker board = new JobTracker();
    private final List<SimulatedRequest> waiting = new ArrayList<>();
    private boolean scheduled;
    private boolean cut;
    private long next;

    SimulatedDaemon(String name, Simulation simulation) {
        this.name = name;
        this.simulation = simulation;
        simulation.engines().forEach(engine -> board.registerEngine(engine.id(), engine.profile()));
    }

    /** Cuts this daemon off from the others: they hear nothing of each other. */
    void cut(boolean value) {
        cut = value;
    }

    void take(SimulatedRequest request) {
        waiting.add(request);
        serve();
    }

    void began(SimulatedRequest request) {
        JobId id = request.job().id();
        board.firstToken(id);
        tell(other -> other.board.firstToken(id));
        soon();
    }

    void gone(SimulatedRequest request) {
        waiting.remove(request);
        if (request.job() == null) {
            return;
        }
        JobId id = request.job().id();
        board.remove(id);
        tell(other -> {
            other.board.remove(id);
            other.soon();
        });
        soon();
    }

    private void tell(Consumer<SimulatedDaemon> news) {
        for (SimulatedDaemon other : simulation.daemons()) {
            if (other != this && !cut && !other.cut) {
                simulation.time().after(simulation.newsMillis(), () -> news.accept(other));
            }
        }
    }

    private void soon() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            simulation.time().after(1, this::serveAgain);
        }
    }

    private void serveAgain() {
        scheduled = false;
        serve();
    }

    private void serve() {
        waiting.removeIf(SimulatedRequest::ended);
        List<SimulatedRequest> order = new ArrayList<>(waiting);
        order.sort(Comparator.comparingDouble(SimulatedDaemon::worthOfTime).reversed());
        for (SimulatedRequest request : order) {
            PromptNeed need = request.need();
            Optional<Placement> found = EnginePlacement.place(
                    board, candidates(), need, simulation.time().now());
            if (found.isPresent() && simulation.starts(found.get(), need)) {
                waiting.remove(request);
                send(request, found.get());
            } else if (simulation.gaveUpWaiting(readMillis(need), need)) {
                waiting.remove(request);
                double pending = board.meanPendingPrefillMillis();
                request.refused(AdmissionPolicy.retryAfterMillis(pending, need) + SPREAD_MILLIS);
            }
        }
        if (!waiting.isEmpty() && !scheduled) {
            scheduled = true;
            simulation.time().after(RETRY_MILLIS, this::serveAgain);
        }
    }

    private static double worthOfTime(SimulatedRequest request) {
        PromptNeed need = request.need();
        return EngineJob.weight(need.promptTokens()) / readMillis(need);
    }

    private static double readMillis(PromptNeed need) {
        return Simulation.PROFILE.readMillis(need.promptTokens(), 1);
    }

    private List<EngineCandidate> candidates() {
        return simulation.engines().stream()
                .map(engine -> new EngineCandidate(engine.id(), 1, 0, preference(engine.id())))
                .toList();
    }

    private double preference(String engine) {
        return (Rendezvous.rank(name, engine) >>> 1) / (double) Integer.MAX_VALUE;
    }

    private void send(SimulatedRequest request, Placement placement) {
        double now = simulation.time().now();
        PromptNeed need = request.need();
        EngineJob job = new EngineJob(
                new JobId(name, next++),
                placement.engines(),
                placement.heldTokens(),
                need.promptTokens(),
                need.outputTokens(),
                need.firstAimMillis(),
                need.gapAimMillis());
        board.add(job, now, 1);
        tell(other -> other.board.add(job, now, 1));
        List<SimulatedEngine> chosen =
                placement.engines().stream().map(simulation::engine).toList();
        request.sent(job, chosen);
    }
}
