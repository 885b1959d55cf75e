package org.endivehold.daemon.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.capacity.Permit;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.placement.Candidate;
import org.endivehold.placement.PromptParts;
import org.endivehold.stream.RetryDecision;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.GenerateRequest;

/**
 * Serves a prompt that exceeds one engine's memory over several engines in steps. Each engine but the last prefills its
 * part with the caches of the parts before it attached, and exports its own; the last prefills the rest and generates
 * with all caches attached. An engine that takes no new work any more, since its zone went out or it leaves, gets no
 * further leg. However the request ends, every cache is released, and every permit given back once its engine has
 * confirmed that.
 */
final class PromptLegs {
    private static final int RELEASE_TRIES = 5;
    private static final long RELEASE_RETRY_MILLIS = 500;

    private final GenerationRun run;
    private final List<Permit> permits;
    private final GenerationResources resources;
    private final EngineSelector selector;
    private final List<String> parts;
    private final List<CacheHandle> handles = new ArrayList<>();
    private StreamId legStream;
    private boolean closed;

    /**
     * Plans the legs of a prompt.
     *
     * @param run the request
     * @param permits one per engine, in the order of the parts
     * @param resources engines and capacity
     * @param selector knows the engines
     */
    PromptLegs(GenerationRun run, List<Permit> permits, GenerationResources resources, EngineSelector selector) {
        this.run = run;
        this.permits = permits;
        this.resources = resources;
        this.selector = selector;
        byte[] prompt = run.call().prompt().getBytes(StandardCharsets.UTF_8);
        long[] memory = permits.stream().mapToLong(Permit::memoryTokens).toArray();
        memory[memory.length - 1] -= run.call().maxTokens();
        this.parts = PromptParts.split(prompt, memory);
    }

    /** Starts the first leg. */
    void start() {
        run.onLeave(this::close);
        if (parts.size() != permits.size()) {
            close();
            resources.release(permits.subList(0, 1));
            run.giveUp(ErrorType.RESERVATION_REFUSED, run.need().memoryTokens());
            return;
        }
        next();
    }

    private void next() {
        int leg = handles.size();
        if (leg == parts.size() - 1) {
            generate();
            return;
        }
        UpstreamName upstream = permits.get(leg).upstream();
        if (!selector.serving(run.need().version()).containsKey(upstream)) {
            failed(new EndiveholdException(ErrorType.NO_UPSTREAM, upstream));
            return;
        }
        run.report().note("leg", "upstream=" + upstream + " number=" + (leg + 1) + " of=" + parts.size());
        try {
            Engine engine = resources.upstreams().engine(upstream);
            engine.prefillAndExport(part(leg)).whenComplete((handle, failure) -> exported(handle, failure));
        } catch (EndiveholdException e) {
            failed(e);
        }
    }

    private GenerateRequest part(int leg) {
        EngineNeed need = run.need();
        legStream = resources.streams().next();
        GenerateRequest.Builder builder = GenerateRequest.builder(legStream, resources.owner(), need.version())
                .prompt(parts.get(leg))
                .maxTokens(0)
                .priority(need.priority())
                .attached(handles);
        run.call().route().adapter().ifPresent(builder::adapter);
        return builder.build();
    }

    private void exported(CacheHandle handle, Throwable failure) {
        if (closed) {
            Permit permit = permits.get(handles.size());
            if (handle == null) {
                resources.release(List.of(permit));
            } else {
                release(handle, permit, RELEASE_TRIES);
            }
        } else if (failure != null) {
            failed(EndiveholdException.unwrap(failure));
        } else {
            handles.add(handle);
            next();
        }
    }

    private void failed(EndiveholdException failure) {
        UpstreamName upstream = permits.get(handles.size()).upstream();
        selector.failed(upstream, true);
        run.report().failed(upstream, failure, RetryDecision.Action.RETRY, false);
        resources.release(List.of(permits.get(handles.size())));
        run.tryAgain(upstream, RetryDecision.Action.RETRY, failure);
    }

    private void generate() {
        Permit last = permits.get(permits.size() - 1);
        Candidate candidate = selector.describe(run.need(), last.upstream()).orElse(null);
        if (candidate == null) {
            failed(new EndiveholdException(ErrorType.NO_UPSTREAM, last.upstream()));
            return;
        }
        run.begin(new EngineSelector.Selected(candidate, List.of(last)), List.copyOf(handles));
    }

    /** Releases every cache; a leg under way releases its own when it arrives. */
    private void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (int i = 0; i < handles.size(); i++) {
            release(handles.get(i), permits.get(i), RELEASE_TRIES);
        }
        int unused = handles.size() + 1;
        if (unused < permits.size()) {
            cancelLeg(permits.get(handles.size()).upstream());
            resources.release(permits.subList(unused, permits.size()));
        }
    }

    private void cancelLeg(UpstreamName upstream) {
        try {
            if (legStream != null) {
                resources.upstreams().engine(upstream).cancel(legStream);
            }
        } catch (EndiveholdException e) {
            run.report().note("leg-engine-gone", "upstream=" + upstream);
        }
    }

    private void release(CacheHandle handle, Permit permit, int tries) {
        try {
            Engine engine = resources.upstreams().engine(handle.upstream());
            engine.release(handle).whenComplete((done, failure) -> {
                if (failure == null || tries == 1) {
                    resources.release(List.of(permit));
                } else {
                    resources
                            .context()
                            .vertx()
                            .setTimer(RELEASE_RETRY_MILLIS, id -> release(handle, permit, tries - 1));
                }
            });
        } catch (EndiveholdException e) {
            resources.release(List.of(permit));
        }
    }
}
