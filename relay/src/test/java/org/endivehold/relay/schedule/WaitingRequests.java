package org.endivehold.relay.schedule;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.TrafficClass;

/** Waiting requests for tests, and decisions on them that are noted. */
final class WaitingRequests implements Backlog.Decisions {
    static final String SERVICE = "engines";
    static final EngineProfile PROFILE = new EngineProfile(8, 197_200, 34, 1.31, 0.000917, 0.00213, 154, 0.162, 2_048);

    final Set<JobId> searched = new LinkedHashSet<>();
    final Set<JobId> placed = new LinkedHashSet<>();
    final Set<JobId> refused = new LinkedHashSet<>();
    final Set<JobId> late = new HashSet<>();
    Predicate<WaitingRequest> fits = entry -> true;
    Consumer<WaitingRequest> onPlaced = entry -> {};
    private long nextNumber;

    WaitingRequest request(long promptTokens, TrafficClass traffic) {
        return request(SERVICE, promptTokens, traffic);
    }

    WaitingRequest request(String service, long promptTokens, TrafficClass traffic) {
        PromptNeed need = new PromptNeed(promptTokens, 1_000, 3_000, 1_000, 0, 15_000, traffic);
        JobId id = new JobId("daemon", nextNumber++);
        return new WaitingRequest(
                new EngineRequest(id, service, need, Set.of(), Set.of(), true), PROFILE, new NoListener(), 0);
    }

    @Override
    public boolean tryPlace(WaitingRequest entry) {
        searched.add(entry.id());
        boolean fit = fits.test(entry);
        if (fit) {
            placed.add(entry.id());
            onPlaced.accept(entry);
        }
        return fit;
    }

    @Override
    public boolean shouldRefuse(WaitingRequest entry) {
        return late.contains(entry.id());
    }

    @Override
    public void refuse(WaitingRequest entry, WaitReason reason) {
        refused.add(entry.id());
    }

    private static final class NoListener implements EngineScheduler.Listener {
        @Override
        public void placed(EngineJob job, Placement placement) {}

        @Override
        public void refused(double retryAfterMillis) {}
    }
}
