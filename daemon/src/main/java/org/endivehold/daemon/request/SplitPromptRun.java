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
 * Serves a prompt that exceeds one engine's memory by splitting it over several engines, which work in sequence. Each
 * engine but the last prefills its part with the caches of the earlier parts attached, and exports its own cache; the
 * last engine prefills the rest and generates with all caches attached. An engine that no longer takes new work,
 * because it is leaving or its availability zone was taken out of service, gets no part. However the request ends,
 * every cache is released, and every permit is released once its engine has confirmed that or the attempts are used up.
 * In traces, a part is called {@code leg}.
 */
final class SplitPromptRun {
    private static final int MAX_RELEASE_ATTEMPTS = 5;
    private static final long RELEASE_RETRY_MILLIS = 500;

    private final GenerationRun run;
    private final List<Permit> permits;
    private final GenerationResources resources;
    private final EngineSelector selector;
    private final List<String> parts;
    private final List<CacheHandle> partCaches = new ArrayList<>();
    private StreamId partStreamId;
    private boolean closed;

    /**
     * Splits a prompt into parts.
     *
     * @param run the request
     * @param permits one permit per engine, in the order of the parts
     * @param resources gives engines and capacity
     * @param selector gives the engines that take new work
     */
    SplitPromptRun(GenerationRun run, List<Permit> permits, GenerationResources resources, EngineSelector selector) {
        this.run = run;
        this.permits = permits;
        this.resources = resources;
        this.selector = selector;
        byte[] prompt = run.call().prompt().getBytes(StandardCharsets.UTF_8);
        long[] memoryTokens = permits.stream().mapToLong(Permit::memoryTokens).toArray();
        memoryTokens[memoryTokens.length - 1] -= run.call().maxTokens();
        this.parts = PromptParts.split(prompt, memoryTokens);
    }

    /** Starts the first part. */
    void start() {
        run.onEngineLeft(this::close);
        if (parts.size() != permits.size()) {
            close();
            // close() leaves the first permit to the part in progress, but no part has started.
            resources.release(permits.subList(0, 1));
            run.giveUp(ErrorType.RESERVATION_REFUSED, run.requirements().memoryTokens());
            return;
        }
        startNextPart();
    }

    private void startNextPart() {
        int part = partCaches.size();
        if (part == parts.size() - 1) {
            generate();
            return;
        }
        UpstreamName upstream = permits.get(part).upstream();
        if (!selector.servingEngines(run.requirements().version()).containsKey(upstream)) {
            partFailed(new EndiveholdException(ErrorType.NO_UPSTREAM, upstream));
            return;
        }
        run.report().note("leg", "upstream=" + upstream + " number=" + (part + 1) + " of=" + parts.size());
        try {
            Engine engine = resources.upstreams().engine(upstream);
            engine.prefillAndExport(prefillRequest(part)).whenComplete((handle, failure) -> exported(handle, failure));
        } catch (EndiveholdException e) {
            partFailed(e);
        }
    }

    private GenerateRequest prefillRequest(int part) {
        EngineRequirements requirements = run.requirements();
        partStreamId = resources.streamIds().next();
        GenerateRequest.Builder builder = GenerateRequest.builder(
                        partStreamId, resources.owner(), requirements.version())
                .prompt(parts.get(part))
                .maxTokens(0)
                .priority(requirements.priority())
                .attached(partCaches);
        run.call().route().adapter().ifPresent(builder::adapter);
        return builder.build();
    }

    private void exported(CacheHandle handle, Throwable failure) {
        if (closed) {
            Permit permit = permits.get(partCaches.size());
            if (handle == null) {
                resources.release(List.of(permit));
            } else {
                release(handle, permit, MAX_RELEASE_ATTEMPTS);
            }
        } else if (failure != null) {
            partFailed(EndiveholdException.unwrap(failure));
        } else {
            partCaches.add(handle);
            startNextPart();
        }
    }

    private void partFailed(EndiveholdException failure) {
        UpstreamName upstream = permits.get(partCaches.size()).upstream();
        selector.failed(upstream, true);
        run.report().failed(upstream, failure, RetryDecision.Action.RETRY, false);
        resources.release(List.of(permits.get(partCaches.size())));
        run.retryElsewhere(upstream, RetryDecision.Action.RETRY, failure);
    }

    private void generate() {
        Permit last = permits.get(permits.size() - 1);
        Candidate candidate =
                selector.describe(run.requirements(), last.upstream()).orElse(null);
        if (candidate == null) {
            partFailed(new EndiveholdException(ErrorType.NO_UPSTREAM, last.upstream()));
            return;
        }
        run.startOn(new EngineSelector.Selection(candidate, List.of(last)), List.copyOf(partCaches));
    }

    /** Releases every exported cache; the cache of a part still in prefill is released when it is exported. */
    private void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (int i = 0; i < partCaches.size(); i++) {
            release(partCaches.get(i), permits.get(i), MAX_RELEASE_ATTEMPTS);
        }
        int firstUnused = partCaches.size() + 1;
        if (firstUnused < permits.size()) {
            cancelPart(permits.get(partCaches.size()).upstream());
            resources.release(permits.subList(firstUnused, permits.size()));
        }
    }

    private void cancelPart(UpstreamName upstream) {
        try {
            if (partStreamId != null) {
                resources.upstreams().engine(upstream).cancel(partStreamId);
            }
        } catch (EndiveholdException e) {
            run.report().note("leg-engine-gone", "upstream=" + upstream);
        }
    }

    private void release(CacheHandle handle, Permit permit, int attemptsLeft) {
        try {
            Engine engine = resources.upstreams().engine(handle.upstream());
            engine.release(handle).whenComplete((done, failure) -> {
                if (failure == null || attemptsLeft == 1) {
                    resources.release(List.of(permit));
                } else {
                    resources
                            .context()
                            .vertx()
                            .setTimer(RELEASE_RETRY_MILLIS, id -> release(handle, permit, attemptsLeft - 1));
                }
            });
        } catch (EndiveholdException e) {
            resources.release(List.of(permit));
        }
    }
}
