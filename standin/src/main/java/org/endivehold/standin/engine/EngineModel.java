package org.endivehold.standin.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.VersionName;
import org.endivehold.standin.log.StandinEvent;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.upstream.CacheEvent;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.ResourceOwner;
import org.endivehold.upstream.protocol.CompletionBody;
import org.endivehold.upstream.protocol.ErrorBody;
import org.endivehold.upstream.protocol.ExportedBody;
import org.endivehold.upstream.protocol.OrderBody;

/**
 * Simulates timing and memory of an engine, without sockets or timers.
 *
 * <p>One prompt is prefilled at a time, in chunks; before each chunk the waiting prompt of the highest priority is
 * chosen, the oldest among equals. All prefilled prompts advance by one token per decoding step, and the duration of a
 * step grows with their number. A stream reserves memory for its prompt and its maximum answer from acceptance to its
 * end. Streams beyond the limit wait and count as overload. During cold start, too many of them crash the engine: all
 * streams break, the boot number increases and cold start begins again. Times are values of {@link System#nanoTime}
 * that the caller passes in.
 */
final class EngineModel {
    private static final int CHUNK_TOKENS = 4_096;
    private static final int MAX_ENDED_STREAMS = 4_096;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    /** The prefix cache holds a quarter of the KV memory's tokens. */
    private static final int MEMORY_TO_PREFIX_CACHE_RATIO = 4;

    private static final Comparator<Generation> URGENCY =
            Comparator.<Generation>comparingInt(g -> -g.body.priority()).thenComparingLong(g -> g.arrival);

    private final EngineParameters parameters;
    private final StandinLog log;
    private final Consumer<Generation> onChange;
    private final Map<String, Generation> active = new LinkedHashMap<>();
    private final Map<String, ExportedCache> caches = new LinkedHashMap<>();
    private final List<Generation> waiting = new ArrayList<>();
    private final List<Generation> decoding = new ArrayList<>();
    private final Set<VersionName> versions;
    private final PrefixCache prefixCache;
    private final Map<String, Generation> ended = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Generation> eldest) {
            return size() > MAX_ENDED_STREAMS;
        }
    };
    private final Map<VersionName, Long> loading = new LinkedHashMap<>();
    private long boot = 1;
    private long warmAt;
    private long availableAt;
    private long arrivals;
    private long exports;
    private long overloads;
    private long usedTokens;
    private Epoch highestEpoch = Epoch.ZERO;
    private Optional<Generation> prefilling = Optional.empty();
    private long chunkTokens;
    private long chunkEnds = Long.MAX_VALUE;
    private long stepEnds = Long.MAX_VALUE;
    private double slowdownFactor = 1;

    /** An exported cache and the daemon that owns it. */
    private record ExportedCache(ExportedBody body, ResourceOwner owner) {}

    /**
     * Creates a warm engine.
     *
     * @param parameters capacity and timing
     * @param log receives the engine's events
     * @param now current time in nanoseconds
     * @param onChange called with each generation that has more tokens, ended or broke
     */
    EngineModel(EngineParameters parameters, StandinLog log, long now, Consumer<Generation> onChange) {
        this.parameters = parameters;
        this.log = log;
        this.onChange = onChange;
        versions = new HashSet<>(parameters.versions());
        prefixCache = new PrefixCache(parameters.memoryTokens() / MEMORY_TO_PREFIX_CACHE_RATIO);
        warmAt = now;
        availableAt = now;
    }

    BootNumber boot() {
        return new BootNumber(boot);
    }

    boolean isCold(long now) {
        return now < warmAt;
    }

    /** Returns how many streams may run at this time without overload. */
    int concurrencyLimit(long now) {
        return isCold(now) ? parameters.coldSlots() : parameters.slots();
    }

    /** Sets the factor by which chunks and steps take longer, from the next chunk or step on. */
    void slowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    /**
     * Accepts a completion, or a prefill whose cache is exported.
     *
     * @throws EngineRefusal if it is not started
     */
    Generation accept(CompletionBody body, boolean export, long now) throws EngineRefusal {
        advance(now);
        if (now < availableAt) {
            throw new EngineRefusal(ErrorBody.Code.STARTING, "the engine is starting");
        }
        if (!versions.contains(body.model())) {
            throw new EngineRefusal(ErrorBody.Code.VERSION, "not loaded: " + body.model());
        }
        if (active.containsKey(body.streamId().value())) {
            throw new EngineRefusal(ErrorBody.Code.REFUSED, "the stream already exists");
        }
        Generation generation = new Generation(body, export, arrivals++);
        checkText(generation);
        checkMemory(generation);
        admit(generation, now);
        return generation;
    }

    private void checkText(Generation generation) throws EngineRefusal {
        if (!generation.matchesPrompt) {
            log.add(new StandinEvent.Crossed(StandinLog.now(), name(), generation.id()));
            throw new EngineRefusal(ErrorBody.Code.MALFORMED, "delivered text or caches do not belong to this prompt");
        }
    }

    private void checkMemory(Generation generation) throws EngineRefusal {
        long free = parameters.memoryTokens() - usedTokens;
        if (generation.memoryTokens > free) {
            log.add(new StandinEvent.MemoryRefused(
                    StandinLog.now(), name(), generation.id(), generation.memoryTokens, free));
            throw new EngineRefusal(
                    ErrorBody.Code.MEMORY, "needs " + generation.memoryTokens + " tokens of KV memory; free: " + free);
        }
    }

    private void admit(Generation generation, long now) {
        generation.cachedTokens = prefixCache.cachedTokens(generation.prefixHashes);
        generation.remainingPrefillTokens = Math.max(1, generation.unattachedTokens - generation.cachedTokens);
        usedTokens += generation.memoryTokens;
        active.put(generation.id(), generation);
        waiting.add(generation);
        int concurrencyLimit = concurrencyLimit(now);
        log.add(new StandinEvent.Accepted(
                StandinLog.now(),
                name(),
                parameters.zone().value(),
                generation.id(),
                generation.body.owner().host().value(),
                Long.toHexString(generation.promptHash),
                active.size(),
                concurrencyLimit));
        if (active.size() > concurrencyLimit) {
            overloads++;
            log.add(new StandinEvent.Overload(StandinLog.now(), name(), isCold(now), active.size(), concurrencyLimit));
        }
        if (isCold(now) && active.size() > parameters.coldSlots() * parameters.crashFactor()) {
            restart(now, true);
            return;
        }
        beginChunk(now);
    }

    /** Finds an active or recently ended stream. */
    Optional<Generation> find(String stream) {
        Generation found = active.get(stream);
        return Optional.ofNullable(found == null ? ended.get(stream) : found);
    }

    void cancel(String stream, long now) {
        advance(now);
        Generation generation = active.get(stream);
        if (generation != null) {
            end(generation, "cancelled");
            beginChunk(now);
        }
    }

    void release(String cache) {
        ExportedCache released = caches.remove(cache);
        if (released != null) {
            usedTokens -= released.body().tokens();
        }
    }

    void order(OrderBody order, long now) throws EngineRefusal {
        boolean outdated = order.epoch().compareTo(highestEpoch) < 0;
        boolean carryOut = !outdated || !parameters.checksFencing();
        log.add(new StandinEvent.Ordered(
                StandinLog.now(), name(), order.order().name(), order.epoch().value(), highestEpoch.value(), carryOut));
        if (!carryOut) {
            throw new EngineRefusal(ErrorBody.Code.FENCED, "the highest epoch so far is " + highestEpoch);
        }
        highestEpoch = outdated ? highestEpoch : order.epoch();
        carryOut(order, now);
    }

    private void carryOut(OrderBody order, long now) {
        switch (order.order()) {
            case LOAD_VERSION ->
                order.version()
                        .filter(v -> !versions.contains(v))
                        .ifPresent(v -> loading.putIfAbsent(v, now + scaledNanos(parameters.loadMillis())));
            case UNLOAD_VERSION -> order.version().ifPresent(versions::remove);
            case CANCEL_STREAM -> order.stream().ifPresent(s -> cancel(s.value(), now));
            case RELEASE_CACHE -> order.cache().ifPresent(this::release);
            default -> throw new IllegalArgumentException(order.order().name());
        }
    }

    /**
     * Restarts the engine into cold start and breaks all streams.
     *
     * @param now current time in nanoseconds
     * @param crashed whether a crash is the cause; only then does the engine refuse work for a while
     */
    void restart(long now, boolean crashed) {
        List<Generation> broken = new ArrayList<>(active.values());
        active.clear();
        ended.clear();
        caches.clear();
        waiting.clear();
        decoding.clear();
        prefixCache.clear();
        prefilling = Optional.empty();
        chunkEnds = Long.MAX_VALUE;
        stepEnds = Long.MAX_VALUE;
        usedTokens = 0;
        overloads = 0;
        boot++;
        availableAt = crashed ? now + scaledNanos(parameters.restartMillis()) : now;
        warmAt = availableAt + scaledNanos(parameters.coldMillis());
        log.add(new StandinEvent.Restarted(StandinLog.now(), name(), boot, crashed, broken.size()));
        for (Generation generation : broken) {
            generation.broken = true;
            onChange.accept(generation);
        }
    }

    /**
     * Processes all chunks, steps and version loads that are due.
     *
     * @param now current time in nanoseconds
     */
    void advance(long now) {
        Set<Generation> updated = new HashSet<>();
        while (Math.min(chunkEnds, stepEnds) <= now) {
            if (chunkEnds <= stepEnds) {
                endChunk(chunkEnds, updated);
            } else {
                step(stepEnds, updated);
            }
        }
        completeDueLoads(now);
        updated.forEach(onChange);
    }

    /**
     * Returns when {@link #advance} has to be called next.
     *
     * @return time in nanoseconds, or {@link Long#MAX_VALUE} if nothing runs
     */
    long nextEventAt() {
        return Math.min(chunkEnds, stepEnds);
    }

    EngineLoad load(long now) {
        completeDueLoads(now);
        long prefill = 0;
        for (Generation generation : waiting) {
            prefill += generation.remainingPrefillTokens;
        }
        return new EngineLoad(
                boot(),
                isCold(now),
                parameters.slots(),
                parameters.memoryTokens(),
                usedTokens,
                prefill,
                overloads,
                Set.copyOf(versions),
                active.values().stream()
                        .map(g -> new EngineLoad.RunningStream(new StreamId(g.id()), g.body.owner(), g.memoryTokens))
                        .toList(),
                caches.values().stream()
                        .map(c -> new EngineLoad.HeldCache(
                                c.body().id(), c.owner(), c.body().tokens()))
                        .toList(),
                0);
    }

    List<CacheEvent> cacheEvents(long after, long now) {
        return prefixCache.events(after, now - scaledNanos(parameters.reportMillis()));
    }

    Collection<Generation> active() {
        return active.values();
    }

    long usedTokens() {
        return usedTokens;
    }

    /** Converts real-time milliseconds to nanoseconds of the sped-up engine. */
    long scaledNanos(long millis) {
        return (long) (millis * NANOS_PER_MILLI / parameters.speed());
    }

    private String name() {
        return parameters.name().value();
    }

    private void completeDueLoads(long now) {
        for (Iterator<Map.Entry<VersionName, Long>> all = loading.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<VersionName, Long> entry = all.next();
            if (entry.getValue() <= now) {
                versions.add(entry.getKey());
                all.remove();
            }
        }
    }

    private void beginChunk(long at) {
        if (prefilling.isPresent()) {
            return;
        }
        int started = decoding.size()
                + (int) waiting.stream().filter(g -> g.prefillStarted).count();
        boolean canStartAnother = started < concurrencyLimit(at);
        prefilling = waiting.stream()
                .filter(g -> g.prefillStarted || canStartAnother)
                .min(URGENCY);
        prefilling.ifPresent(chosen -> {
            chosen.prefillStarted = true;
            chunkTokens = Math.min(CHUNK_TOKENS, chosen.remainingPrefillTokens);
            double seconds = chunkTokens * slowdownFactor / parameters.prefillTokensPerSecond() / parameters.speed();
            chunkEnds = at + (long) (seconds * NANOS_PER_SECOND);
        });
    }

    private void endChunk(long at, Set<Generation> updated) {
        Generation generation = prefilling.orElseThrow();
        prefilling = Optional.empty();
        chunkEnds = Long.MAX_VALUE;
        generation.remainingPrefillTokens -= chunkTokens;
        if (generation.remainingPrefillTokens <= 0 && active.containsKey(generation.id())) {
            waiting.remove(generation);
            prefixCache.store(generation.prefixHashes, at);
            if (generation.export) {
                export(generation);
                updated.add(generation);
            } else if (generation.producedTokens >= generation.body.maxTokens()) {
                end(generation, "length");
                updated.add(generation);
            } else {
                decoding.add(generation);
                beginStep(at);
            }
        }
        beginChunk(at);
    }

    private void export(Generation generation) {
        exports++;
        String id = "kv." + boot + "." + exports + "." + Long.toHexString(generation.promptHash);
        caches.put(id, new ExportedCache(new ExportedBody(id, generation.unattachedTokens), generation.body.owner()));
        usedTokens += generation.unattachedTokens;
        end(generation, id);
    }

    private void beginStep(long at) {
        if (stepEnds != Long.MAX_VALUE || decoding.isEmpty()) {
            return;
        }
        double micros = parameters.stepMicros() + parameters.stepPerStreamMicros() * (decoding.size() - 1);
        stepEnds = at + (long) (micros * slowdownFactor * 1_000 / parameters.speed());
    }

    private void step(long at, Set<Generation> updated) {
        stepEnds = Long.MAX_VALUE;
        boolean anyEnded = false;
        for (Generation generation : List.copyOf(decoding)) {
            generation.producedTokens++;
            updated.add(generation);
            if (generation.producedTokens >= generation.body.maxTokens()) {
                end(generation, "length");
                anyEnded = true;
            }
        }
        beginStep(at);
        if (anyEnded) {
            beginChunk(at);
        }
    }

    private void end(Generation generation, String reason) {
        active.remove(generation.id());
        waiting.remove(generation);
        decoding.remove(generation);
        if (prefilling.filter(g -> g == generation).isPresent()) {
            prefilling = Optional.empty();
            chunkEnds = Long.MAX_VALUE;
        }
        usedTokens -= generation.memoryTokens;
        boolean cancelled = reason.equals("cancelled");
        generation.broken = cancelled;
        generation.result = cancelled ? Optional.empty() : Optional.of(reason);
        ended.put(generation.id(), generation);
        log.add(new StandinEvent.Ended(
                StandinLog.now(), name(), generation.id(), cancelled, generation.producedTokens));
        if (cancelled) {
            onChange.accept(generation);
        }
    }
}
