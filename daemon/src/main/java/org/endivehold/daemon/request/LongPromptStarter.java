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
 * Starts long prompts on reserved capacity. A refused reservation is retried with exponential backoff until the request
 * can no longer be finished before its deadline. Only a few requests wait for reservations at the same time; the others
 * stay in the queue.
 */
final class LongPromptStarter {
    private static final int MAX_CONCURRENT_RESERVATIONS = 8;
    private static final long FIRST_RETRY_DELAY_MILLIS = 50;
    private static final long MAX_RETRY_DELAY_MILLIS = 800;

    private final GenerationResources resources;
    private final EngineSelector selector;
    private final Set<GenerationRun> reserving = new HashSet<>();

    /**
     * Creates a starter.
     *
     * @param resources gives the capacity
     * @param selector orders the engines by suitability
     */
    LongPromptStarter(GenerationResources resources, EngineSelector selector) {
        this.resources = resources;
        this.selector = selector;
    }

    /**
     * Returns whether one more prompt may be started.
     *
     * @return false if the maximum number of prompts is waiting for reservations
     */
    boolean mayStart() {
        reserving.removeIf(GenerationRun::isEnded);
        return reserving.size() < MAX_CONCURRENT_RESERVATIONS;
    }

    /**
     * Reserves capacity for a prompt, and starts it once the reservation succeeds.
     *
     * @param run the request
     */
    void start(GenerationRun run) {
        reserving.add(run);
        reserve(run, FIRST_RETRY_DELAY_MILLIS);
    }

    private void reserve(GenerationRun run, long delayMillis) {
        if (run.isEnded()) {
            reserving.remove(run);
            return;
        }
        EngineRequirements requirements = run.requirements();
        Map<UpstreamName, Upstream> serving = selector.servingEngines(requirements.version());
        List<UpstreamName> candidates = selector.longPromptCandidates(requirements);
        long largestEngineTokens = serving.values().stream()
                .mapToLong(Upstream::memoryTokens)
                .max()
                .orElse(0);
        ReservationRequest request = new ReservationRequest(
                candidates,
                requirements.memoryTokens(),
                requirements.promptTokens(),
                requirements.memoryTokens() > largestEngineTokens,
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
            candidate(run.requirements(), name)
                    .ifPresentOrElse(
                            found -> run.startOn(new EngineSelector.Selection(found, permits), List.of()),
                            () -> engineUnavailable(run, permits, name));
        } else {
            new SplitPromptRun(run, permits, resources, selector).start();
        }
    }

    private void engineUnavailable(GenerationRun run, List<Permit> permits, UpstreamName name) {
        resources.release(permits);
        run.giveUp(ErrorType.NO_UPSTREAM, name);
    }

    private Optional<Candidate> candidate(EngineRequirements requirements, UpstreamName name) {
        return selector.describe(requirements, name);
    }

    private void refused(GenerationRun run, EndiveholdException failure, long delayMillis) {
        if (run.isEnded()) {
            reserving.remove(run);
        } else if (resources.now() + delayMillis > run.latestStart()) {
            reserving.remove(run);
            run.giveUp(ErrorType.DEADLINE_UNREACHABLE);
        } else {
            run.report().note("reservation-refused", "type=" + failure.type().label());
            long nextDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * delayMillis);
            resources.context().vertx().setTimer(delayMillis, id -> reserve(run, nextDelayMillis));
        }
    }
}
