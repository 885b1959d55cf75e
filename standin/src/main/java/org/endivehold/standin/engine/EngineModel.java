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
 * Timing and memory of a stand-in engine, without sockets or timers.
 *
 * <p>One prompt is prefilled at a time, in chunks; before each chunk the most urgent of the waiting prompts is chosen,
 * the oldest among equals. All prompts that have been prefilled advance by one token per decoding step, and a step
 * takes longer the more of them there are. A stream holds memory for its prompt and its longest answer from acceptance
 * to its end. Work beyond the slots waits; in cold start it counts as overload, and much of it makes the engine fall
 * over: all streams break, the boot number grows and the engine is cold again. Time is {@link System#nanoTime}, given
 * by the caller of {@link #advance}.
 */
final class EngineModel {
    private static final int CHUNK_TOKENS = 4_096;
    private static final int MAX_ENDED = 4_096;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int CACHE_SHARE = 4;
    private static final Comparator<Generation> URGENCY =
            Comparator.<Generation>comparingInt(g -> -g.body.priority()).thenComparingLong(g -> g.arrival);

    private final EngineParameters parameters;
    private final StandinLog log;
    private final Consumer<Generation> changed;
    private final Map<String, Generation> live = new LinkedHashMap<>();
    private final Map<String, ExportedCache> caches = new LinkedHashMap<>();
    private final List<Generation> waiting = new ArrayList<>();
    private final List<Generation> decoding = new ArrayList<>();
    private final Set<VersionName> versions;
    private final PrefixCache prefixCache;
    private final Map<String, Generation> ended = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Generation> eldest) {
            return size() > MAX_ENDED;
        }
    };
    private final Map<VersionName, Long> loading = new LinkedHashMap<>();
    private long boot = 1;
    private long warmAt;
    private long upAt;
    private long arrivals;
    private long exports;
    private long overloads;
    private long usedTokens;
    private Epoch highestEpoch = Epoch.ZERO;
    private Optional<Generation> prefilling = Optional.empty();
    private long chunkTokens;
    private long chunkEnds = Long.MAX_VALUE;
    private long stepEnds = Long.MAX_VALUE;
    private double slowness = 1;

    /** An exported cache and its size. */
    private record ExportedCache(ExportedBody body, ResourceOwner owner) {}

    /**
     * Creates an engine that is warm.
     *
     * @param parameters what it can do
     * @param log takes what it does
     * @param now nanoseconds
     * @param changed told of each stream that has more tokens, ended or broke
     */
    EngineModel(EngineParameters parameters, StandinLog log, long now, Consumer<Generation> changed) {
        this.parameters = parameters;
        this.log = log;
        this.changed = changed;
        versions = new HashSet<>(parameters.versions());
        prefixCache = new PrefixCache(parameters.memoryTokens() / CACHE_SHARE);
        warmAt = now;
        upAt = now;
    }

    BootNumber boot() {
        return new BootNumber(boot);
    }

    boolean isCold(long now) {
        return now < warmAt;
    }

    int bearable(long now) {
        return isCold(now) ? parameters.coldSlots() : parameters.slots();
    }

    /** Makes everything take this many times as long from the next chunk or step on. */
    void slowness(double factor) {
        slowness = factor;
    }

    Generation accept(CompletionBody body, boolean export, long now) throws EngineRefusal {
        advance(now);
        if (now < upAt) {
            throw new EngineRefusal(ErrorBody.Code.STARTING, "the engine starts");
        }
        if (!versions.contains(body.model())) {
            throw new EngineRefusal(ErrorBody.Code.VERSION, "not loaded: " + body.model());
        }
        if (live.containsKey(body.streamId().value())) {
            throw new EngineRefusal(ErrorBody.Code.REFUSED, "the stream exists already");
        }
        Generation generation = new Generation(body, export, arrivals++);
        checkText(generation);
        checkMemory(generation);
        enter(generation, now);
        return generation;
    }

    private void checkText(Generation generation) throws EngineRefusal {
        if (!generation.matches) {
            log.add(new StandinEvent.Crossed(StandinLog.now(), name(), generation.id()));
            throw new EngineRefusal(ErrorBody.Code.MALFORMED, "delivered text or caches are not of this prompt");
        }
    }

    private void checkMemory(Generation generation) throws EngineRefusal {
        long free = parameters.memoryTokens() - usedTokens;
        if (generation.memoryTokens > free) {
            log.add(new StandinEvent.MemoryRefused(
                    StandinLog.now(), name(), generation.id(), generation.memoryTokens, free));
            throw new EngineRefusal(
                    ErrorBody.Code.MEMORY, "needs " + generation.memoryTokens + " tokens, free are " + free);
        }
    }

    private void enter(Generation generation, long now) {
        generation.cachedTokens = prefixCache.cachedTokens(generation.prefixes);
        generation.prefillLeft = Math.max(1, generation.ownTokens - generation.cachedTokens);
        usedTokens += generation.memoryTokens;
        live.put(generation.id(), generation);
        waiting.add(generation);
        int bearable = bearable(now);
        log.add(new StandinEvent.Accepted(
                StandinLog.now(),
                name(),
                parameters.zone().value(),
                generation.id(),
                generation.body.owner().host().value(),
                Long.toHexString(generation.partHash),
                live.size(),
                bearable));
        if (live.size() > bearable) {
            overloads++;
            log.add(new StandinEvent.Overload(StandinLog.now(), name(), isCold(now), live.size(), bearable));
        }
        if (isCold(now) && live.size() > parameters.coldSlots() * parameters.fallFactor()) {
            restart(now, true);
            return;
        }
        beginChunk(now);
    }

    Optional<Generation> find(String stream) {
        Generation found = live.get(stream);
        return Optional.ofNullable(found == null ? ended.get(stream) : found);
    }

    void cancel(String stream, long now) {
        advance(now);
        Generation generation = live.get(stream);
        if (generation != null) {
            end(generation, "cancelled");
            beginChunk(now);
        }
    }

    void release(String cache) {
        ExportedCache held = caches.remove(cache);
        if (held != null) {
            usedTokens -= held.body().tokens();
        }
    }

    void order(OrderBody order, long now) throws EngineRefusal {
        boolean old = order.epoch().compareTo(highestEpoch) < 0;
        boolean carryOut = !old || !parameters.checksFencing();
        log.add(new StandinEvent.Ordered(
                StandinLog.now(), name(), order.order().name(), order.epoch().value(), highestEpoch.value(), carryOut));
        if (!carryOut) {
            throw new EngineRefusal(ErrorBody.Code.FENCED, "highest epoch is " + highestEpoch);
        }
        highestEpoch = old ? highestEpoch : order.epoch();
        carryOut(order, now);
    }

    private void carryOut(OrderBody order, long now) {
        switch (order.order()) {
            case LOAD_VERSION ->
                order.version()
                        .filter(v -> !versions.contains(v))
                        .ifPresent(v -> loading.putIfAbsent(v, now + scaled(parameters.loadMillis())));
            case UNLOAD_VERSION -> order.version().ifPresent(versions::remove);
            case CANCEL_STREAM -> order.stream().ifPresent(s -> cancel(s.value(), now));
            case RELEASE_CACHE -> order.cache().ifPresent(this::release);
            default -> throw new IllegalArgumentException(order.order().name());
        }
    }

    /**
     * Starts the engine again, cold.
     *
     * @param now nanoseconds
     * @param fell whether it fell over; only then it is away for a while
     */
    void restart(long now, boolean fell) {
        List<Generation> broken = new ArrayList<>(live.values());
        live.clear();
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
        upAt = fell ? now + scaled(parameters.restartMillis()) : now;
        warmAt = upAt + scaled(parameters.coldMillis());
        log.add(new StandinEvent.Restarted(StandinLog.now(), name(), boot, fell, broken.size()));
        for (Generation generation : broken) {
            generation.broken = true;
            changed.accept(generation);
        }
    }

    /**
     * Carries out everything that is due.
     *
     * @param now nanoseconds
     */
    void advance(long now) {
        Set<Generation> touched = new HashSet<>();
        while (Math.min(chunkEnds, stepEnds) <= now) {
            if (chunkEnds <= stepEnds) {
                endChunk(chunkEnds, touched);
            } else {
                step(stepEnds, touched);
            }
        }
        finishLoading(now);
        touched.forEach(changed);
    }

    /**
     * Returns when {@link #advance} has something to do.
     *
     * @return nanoseconds, or {@link Long#MAX_VALUE}
     */
    long nextAt() {
        return Math.min(chunkEnds, stepEnds);
    }

    EngineLoad load(long now) {
        finishLoading(now);
        long prefill = 0;
        for (Generation generation : waiting) {
            prefill += generation.prefillLeft;
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
                live.values().stream()
                        .map(g -> new EngineLoad.RunningStream(new StreamId(g.id()), g.body.owner(), g.memoryTokens))
                        .toList(),
                caches.values().stream()
                        .map(c -> new EngineLoad.HeldCache(
                                c.body().id(), c.owner(), c.body().tokens()))
                        .toList(),
                0);
    }

    List<CacheEvent> cacheEvents(long after, long now) {
        return prefixCache.events(after, now - scaled(parameters.reportMillis()));
    }

    Collection<Generation> live() {
        return live.values();
    }

    long usedTokens() {
        return usedTokens;
    }

    long scaled(long millis) {
        return (long) (millis * NANOS_PER_MILLI / parameters.speed());
    }

    private String name() {
        return parameters.name().value();
    }

    private void finishLoading(long now) {
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
        int begun =
                decoding.size() + (int) waiting.stream().filter(g -> g.begun).count();
        boolean roomForOneMore = begun < bearable(at);
        prefilling = waiting.stream().filter(g -> g.begun || roomForOneMore).min(URGENCY);
        prefilling.ifPresent(chosen -> {
            chosen.begun = true;
            chunkTokens = Math.min(CHUNK_TOKENS, chosen.prefillLeft);
            double seconds = chunkTokens * slowness / parameters.prefillTokensPerSecond() / parameters.speed();
            chunkEnds = at + (long) (seconds * NANOS_PER_SECOND);
        });
    }

    private void endChunk(long at, Set<Generation> touched) {
        Generation generation = prefilling.orElseThrow();
        prefilling = Optional.empty();
        chunkEnds = Long.MAX_VALUE;
        generation.prefillLeft -= chunkTokens;
        if (generation.prefillLeft <= 0 && live.containsKey(generation.id())) {
            waiting.remove(generation);
            prefixCache.store(generation.prefixes, at);
            if (generation.export) {
                export(generation);
                touched.add(generation);
            } else if (generation.produced >= generation.body.maxTokens()) {
                end(generation, "length");
                touched.add(generation);
            } else {
                decoding.add(generation);
                beginStep(at);
            }
        }
        beginChunk(at);
    }

    private void export(Generation generation) {
        exports++;
        String id = "kv." + boot + "." + exports + "." + Long.toHexString(generation.partHash);
        caches.put(id, new ExportedCache(new ExportedBody(id, generation.ownTokens), generation.body.owner()));
        usedTokens += generation.ownTokens;
        end(generation, id);
    }

    private void beginStep(long at) {
        if (stepEnds != Long.MAX_VALUE || decoding.isEmpty()) {
            return;
        }
        double micros = parameters.stepMicros() + parameters.stepPerStreamMicros() * (decoding.size() - 1);
        stepEnds = at + (long) (micros * slowness * 1_000 / parameters.speed());
    }

    private void step(long at, Set<Generation> touched) {
        stepEnds = Long.MAX_VALUE;
        boolean left = false;
        for (Generation generation : List.copyOf(decoding)) {
            generation.produced++;
            touched.add(generation);
            if (generation.produced >= generation.body.maxTokens()) {
                end(generation, "length");
                left = true;
            }
        }
        beginStep(at);
        if (left) {
            beginChunk(at);
        }
    }

    private void end(Generation generation, String reason) {
        live.remove(generation.id());
        waiting.remove(generation);
        decoding.remove(generation);
        if (prefilling.filter(g -> g == generation).isPresent()) {
            prefilling = Optional.empty();
            chunkEnds = Long.MAX_VALUE;
        }
        usedTokens -= generation.memoryTokens;
        boolean cancelled = reason.equals("cancelled");
        generation.broken = cancelled;
        generation.finish = cancelled ? Optional.empty() : Optional.of(reason);
        ended.put(generation.id(), generation);
        log.add(new StandinEvent.Ended(StandinLog.now(), name(), generation.id(), cancelled, generation.produced));
        if (cancelled) {
            changed.accept(generation);
        }
    }
}
