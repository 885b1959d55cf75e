package org.endivehold.daemon.request;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.endivehold.capacity.Permit;
import org.endivehold.capacity.ReservationRequest;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.UpstreamName;
import org.endivehold.placement.Candidate;

/**
 * Starts long prompts by reservations at the grantors. A refused reservation is tried again after a growing delay until
 * the request can no longer be finished in time; only a few requests try at once, and the others wait in the queue.
 */
final class LongPromptStarter {
    private static final int MAX_RESERVING = 8;
    private static final long FIRST_DELAY_MILLIS = 50;
    private static final long MAX_DELAY_MILLIS = 800;

    private final GenerationResources resources;
    private final EngineSelector selector;
    private final Set<GenerationRun> reserving = new HashSet<>();

    /**
     * Creates a starter.
     *
     * @param resources the capacity
     * @param selector orders the engines
     */
    LongPromptStarter(GenerationResources resources, EngineSelector selector) {
        this.resources = resources;
        this.selector = selector;
    }

    /**
     * Tells whether one more prompt may try.
     *
     * @return false if enough do
     */
    boolean hasRoom() {
        reserving.removeIf(GenerationRun::isEnded);
        return reserving.size() < MAX_RESERVING;
    }

    /**
     * Starts a prompt as soon as a reservation succeeds.
     *
     * @param run the request
     */
    void start(GenerationRun run) {
        reserving.add(run);
        reserve(run, FIRST_DELAY_MILLIS);
    }

    private void reserve(GenerationRun run, long delayMillis) {
        if (run.isEnded()) {
            reserving.remove(run);
            return;
        }
        EngineNeed need = run.need();
        Map<UpstreamName, Upstream> serving = selector.serving(need.version());
        List<UpstreamName> candidates = selector.longCandidates(need);
        long largest = serving.values().stream()
                .mapToLong(Upstream::memoryTokens)
                .max()
                .orElse(0);
        ReservationRequest request = new ReservationRequest(
                candidates,
                need.memoryTokens(),
                need.promptTokens(),
                need.memoryTokens() > largest,
                Math.max(1, run.call().deadlineAt() - resources.now()));
        resources.capacity().reserve(request, resources.now()).whenComplete((permits, failure) -> {
            if (failure == null) {
                reserved(run, permits);
            } else {
                refused(run, EndiveholdException.unwrap(failure), delayMillis);
            }
        });
    }

    private void reserved(GenerationRun run, List<Permit> permits) {
        reserving.remove(run);
        if (run.isEnded()) {
            resources.release(permits);
            return;
        }
        run.report().note("reserved", "engines=" + permits.size());
        if (permits.size() == 1) {
            UpstreamName name = permits.get(0).upstream();
            candidate(run.need(), name)
                    .ifPresentOrElse(
                            found -> run.begin(new EngineSelector.Selected(found, permits), List.of()),
                            () -> vanished(run, permits, name));
        } else {
            new PromptLegs(run, permits, resources, selector).start();
        }
    }

    private void vanished(GenerationRun run, List<Permit> permits, UpstreamName name) {
        resources.release(permits);
        run.giveUp(ErrorType.NO_UPSTREAM, name);
    }

    private Optional<Candidate> candidate(EngineNeed need, UpstreamName name) {
        return selector.describe(need, name);
    }

    private void refused(GenerationRun run, EndiveholdException failure, long delayMillis) {
        if (run.isEnded()) {
            reserving.remove(run);
        } else if (resources.now() + delayMillis > run.latestStart()) {
            reserving.remove(run);
            run.giveUp(ErrorType.DEADLINE_UNREACHABLE);
        } else {
            run.report().note("reservation-refused", "type=" + failure.type().word());
            long next = Math.min(MAX_DELAY_MILLIS, 2 * delayMillis);
            resources.context().vertx().setTimer(delayMillis, id -> reserve(run, next));
        }
    }
}
