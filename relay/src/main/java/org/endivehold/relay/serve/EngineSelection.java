package org.endivehold.relay.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivehold.relay.engine.EngineCandidate;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.state.Upstream;

/**
 * Finds engines of a service for a prompt: those that are usable, with what their health costs, then the best of them.
 */
final class EngineSelection {
    /** Cost of sending a prompt to a cold engine, as a part of the request's weight. */
    private static final double COLD_PENALTY = 0.5;
    /** Cost of sending a prompt to an engine all of whose recent requests failed, as a part of the weight. */
    private static final double FAILING_PENALTY = 1.5;

    private final RelayContext context;
    private final RelayService service;

    EngineSelection(RelayContext context, RelayService service) {
        this.context = context;
        this.service = service;
    }

    /**
     * Chooses engines for a prompt.
     *
     * @param need the prompt
     * @param avoided engines that this request has failed at
     * @return the engines, or empty if none has room now
     */
    Optional<Placement> choose(PromptNeed need, Set<String> avoided) {
        return context.engines().place(candidates(need, avoided), need);
    }

    private List<EngineCandidate> candidates(PromptNeed need, Set<String> avoided) {
        double now = context.now();
        double weight = EngineJob.weight(need.promptTokens());
        List<EngineCandidate> usable = new ArrayList<>();
        List<EngineCandidate> ejected = new ArrayList<>();
        for (Upstream upstream : context.fleet().upstreams(service.name())) {
            String id = upstream.id();
            boolean cold = upstream.cold(now);
            if (avoided.contains(id) || (cold && !context.coldAllows(service, upstream))) {
                continue;
            }
            service.engine().ifPresent(profile -> context.engines().board().engine(id, profile));
            double penalty = weight * (FAILING_PENALTY * context.health().failing(id, now) + (cold ? COLD_PENALTY : 0));
            EngineCandidate candidate = new EngineCandidate(
                    id,
                    context.health().pace(id, now),
                    penalty,
                    context.engines().preference(id));
            (context.health().ejected(id, now) ? ejected : usable).add(candidate);
        }
        return usable.isEmpty() ? ejected : usable;
    }

    /** Tells whether the engines that are registered could ever hold a prompt, if all of them were free. */
    boolean hopeless(PromptNeed need) {
        long most = service.engine()
                .map(profile -> profile.memoryTokens() * engines())
                .orElse(0L);
        return need.memoryTokens() > most;
    }

    /** Returns how many engines may get requests. */
    int engines() {
        return context.fleet().upstreams(service.name()).size();
    }

    /** Finds the engine of a placement that has an address. */
    Optional<String> engineAt(Placement placement, String address) {
        for (String id : placement.engines()) {
            Optional<Upstream> upstream = context.fleet().upstream(id);
            if (upstream.isPresent() && address.equals(address(upstream.get()))) {
                return Optional.of(id);
            }
        }
        return Optional.empty();
    }

    /** Returns the address of an engine as other engines are told it. */
    static String address(Upstream engine) {
        return engine.entry().address().host() + ":" + engine.entry().address().port();
    }
}
