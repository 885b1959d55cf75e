package org.endivehold.daemon.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.endivehold.capacity.Permit;
import org.endivehold.capacity.ServingUpstreams;
import org.endivehold.capacity.Share;
import org.endivehold.config.Configuration;
import org.endivehold.config.Upstream;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;
import org.endivehold.placement.Candidate;
import org.endivehold.placement.Ejection;
import org.endivehold.placement.LeastPredictedTime;
import org.endivehold.placement.LongPromptLanes;
import org.endivehold.placement.PrefillRateEstimator;
import org.endivehold.placement.PrefixIndex;
import org.jboss.logging.Logger;

/** Joins shares, configuration and what was learned of each engine, and selects an engine for a request. */
final class EngineSelector {
    /** Round trip within an availability zone, in milliseconds. */
    static final double SAME_ZONE_MILLIS = 0.5;
    /** Round trip between availability zones of a region, in milliseconds. */
    static final double OTHER_ZONE_MILLIS = 3.0;

    private static final Logger log = Logger.getLogger(EngineSelector.class);
    private static final int PREFIX_BLOCKS = 20_000;

    private final GenerationResources resources;
    private final PrefillRateEstimator rates = new PrefillRateEstimator();
    private final Ejection ejection = new Ejection();
    private final PrefixIndex prefixes = new PrefixIndex(PREFIX_BLOCKS);
    private final LongPromptLanes lanes = new LongPromptLanes();
    private final Map<UpstreamName, Long> prefillAhead = new HashMap<>();
    private final Map<UpstreamName, BootNumber> boots = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param resources configuration, capacity and policy
     */
    EngineSelector(GenerationResources resources) {
        this.resources = resources;
    }

    /**
     * An engine selected for a request.
     *
     * @param candidate the engine as it looked
     * @param permits the right to use it
     */
    record Selected(Candidate candidate, List<Permit> permits) {}

    /**
     * Counts an arrival.
     *
     * @param need what it needs
     */
    void arrived(EngineNeed need) {
        lanes.arrived(need.promptTokens(), need.isLong(), resources.now());
    }

    /**
     * Selects an engine with room and takes a permit.
     *
     * @param need what the request needs
     * @return the engine, or empty if the request has to wait
     */
    Optional<Selected> select(EngineNeed need) {
        List<Candidate> candidates = candidates(need, need.memoryTokens());
        List<Candidate> preferred = candidates.stream()
                .filter(c -> !need.failed().contains(c.upstream()))
                .toList();
        return resources
                .policy()
                .choose(need.placement(), preferred.isEmpty() ? candidates : preferred)
                .flatMap(chosen -> resources
                        .capacity()
                        .acquire(chosen.upstream(), need.memoryTokens(), resources.now())
                        .map(permit -> new Selected(chosen, List.of(permit))));
    }

    /**
     * Finds engines that may take a request and have a free slot and enough free memory.
     *
     * @param need what the request needs
     * @param memoryTokens free memory that is asked for, in tokens
     * @return candidates, in order of names
     */
    List<Candidate> candidates(EngineNeed need, long memoryTokens) {
        View view = view(need);
        List<Candidate> found = new ArrayList<>();
        for (Share share : resources.capacity().shares(resources.now())) {
            boolean room = share.freeSlots() > 0 && share.freeMemoryTokens() >= memoryTokens;
            if (room && view.allows(share.upstream())) {
                found.add(candidate(view, share));
            }
        }
        return found;
    }

    /**
     * Describes one engine, whatever is free there.
     *
     * @param need what the request needs
     * @param name the engine
     * @return the engine as a candidate, or empty if it takes no new work
     */
    Optional<Candidate> describe(EngineNeed need, UpstreamName name) {
        View view = view(need);
        if (!view.serving().containsKey(name)) {
            return Optional.empty();
        }
        return resources.capacity().shares(resources.now()).stream()
                .filter(share -> share.upstream().equals(name))
                .findFirst()
                .map(share -> candidate(view, share));
    }

    /**
     * Returns the longest prefix of a prompt that some engine is expected to have cached.
     *
     * @param need what the request needs
     * @return tokens
     */
    long mostCached(EngineNeed need) {
        return prefixes.expected(need.hashes()).values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    /**
     * Returns the engines that take new work.
     *
     * @return their names, in order
     */
    List<UpstreamName> engines() {
        return resources.objects().map(ServingUpstreams::of).orElseGet(TreeMap::new).values().stream()
                .filter(upstream -> upstream.kind() == Upstream.Kind.ENGINE)
                .map(Upstream::name)
                .toList();
    }

    /**
     * Orders the engines that a long prompt may use.
     *
     * @param need what the prompt needs
     * @return names, the most wanted first
     */
    List<UpstreamName> longCandidates(EngineNeed need) {
        View view = view(need);
        List<Candidate> found = new ArrayList<>();
        for (Share share : resources.capacity().shares(resources.now())) {
            if (view.allows(share.upstream())) {
                found.add(candidate(view, share));
            }
        }
        Comparator<Candidate> failed = Comparator.comparing(c -> need.failed().contains(c.upstream()));
        Comparator<Candidate> closed = Comparator.comparing(c -> !c.longAllowed());
        Comparator<Candidate> predicted =
                Comparator.comparingDouble(c -> LeastPredictedTime.predictedMillis(need.placement(), c));
        return found.stream()
                .sorted(failed.thenComparing(closed).thenComparing(predicted))
                .map(Candidate::upstream)
                .toList();
    }

    /**
     * Returns the configured engines that serve a version and take new work, whatever is free there.
     *
     * @param version the version
     * @return the engines by name
     */
    Map<UpstreamName, Upstream> serving(VersionName version) {
        Map<UpstreamName, Upstream> engines =
                new TreeMap<>(resources.objects().map(ServingUpstreams::of).orElseGet(TreeMap::new));
        engines.values()
                .removeIf(u -> u.kind() != Upstream.Kind.ENGINE || !u.versions().contains(version));
        return engines;
    }

    /**
     * What stays the same for all engines of one placement.
     *
     * @param serving engines that serve the version and take new work
     * @param cached expected cached prefixes, in tokens
     * @param lanes engines that long prompts may use
     * @param ejected engines that get nothing after failures
     */
    private record View(
            Map<UpstreamName, Upstream> serving,
            Map<UpstreamName, Long> cached,
            Set<UpstreamName> lanes,
            Set<UpstreamName> ejected) {
        boolean allows(UpstreamName name) {
            return serving.containsKey(name) && !ejected.contains(name);
        }
    }

    private View view(EngineNeed need) {
        Map<UpstreamName, Upstream> serving = serving(need.version());
        List<UpstreamName> names = List.copyOf(serving.keySet());
        long now = resources.now();
        Set<UpstreamName> ejected = names.stream()
                .filter(name -> !ejection.allows(name, now))
                .collect(Collectors.toCollection(TreeSet::new));
        return new View(serving, prefixes.expected(need.hashes()), lanes.lanes(names), ejected);
    }

    private Candidate candidate(View view, Share share) {
        Upstream upstream = view.serving().get(share.upstream());
        double rate = rates.rate(upstream.name(), (double) upstream.prefillTokensPerSecond());
        long own = prefillAhead.getOrDefault(upstream.name(), 0L);
        return new Candidate(
                upstream.name(),
                upstream.zone(),
                share.freeSlots(),
                share.freeMemoryTokens(),
                share.usedSlots(),
                own,
                rate,
                view.cached().getOrDefault(upstream.name(), 0L),
                distanceMillis(upstream.zone()),
                view.lanes().contains(upstream.name()));
    }

    private double distanceMillis(ZoneName zone) {
        return zone.equals(resources.context().settings().zone()) ? SAME_ZONE_MILLIS : OTHER_ZONE_MILLIS;
    }

    /**
     * A request goes to an engine.
     *
     * @param upstream the engine
     * @param need what it needs
     * @param prefillTokens prompt tokens that it will prefill there
     */
    void sent(UpstreamName upstream, EngineNeed need, long prefillTokens) {
        ejection.sent(upstream);
        prefixes.sent(upstream, need.hashes());
        prefillAhead.merge(upstream, prefillTokens, Long::sum);
    }

    /**
     * The prefill of a request has ended, or the request has.
     *
     * @param upstream the engine
     * @param prefillTokens as given to {@link #sent}
     */
    void prefillEnded(UpstreamName upstream, long prefillTokens) {
        prefillAhead.computeIfPresent(upstream, (name, sum) -> sum <= prefillTokens ? null : sum - prefillTokens);
    }

    /**
     * An engine accepted a stream.
     *
     * @param upstream the engine
     * @param boot its boot number
     * @param expectedTokens prefix that was expected there
     * @param cachedTokens prefix that it found
     */
    void accepted(UpstreamName upstream, BootNumber boot, long expectedTokens, long cachedTokens) {
        ejection.succeeded(upstream);
        BootNumber before = boots.put(upstream, boot);
        if (before != null && !before.equals(boot)) {
            prefixes.restarted(upstream);
            resources.capacity().suspect(upstream, resources.now());
            LogEvent.of("upstream-restarted")
                    .with("upstream", upstream)
                    .with("boot", boot)
                    .info(log);
        }
        prefixes.observed(upstream, expectedTokens, cachedTokens);
    }

    /**
     * A first token came.
     *
     * @param candidate the engine as it looked when it was selected
     * @param prefillTokens prompt tokens that it prefilled for the request
     * @param millis time since the request was sent, in milliseconds
     */
    void firstToken(Candidate candidate, long prefillTokens, long millis) {
        Upstream upstream = resources
                .objects()
                .map(Configuration::upstreams)
                .map(all -> all.get(candidate.upstream()))
                .orElse(null);
        if (upstream != null) {
            long tokens = candidate.prefillTokensAhead() + prefillTokens;
            double span = millis - candidate.distanceMillis();
            rates.sample(candidate.upstream(), (double) upstream.prefillTokensPerSecond(), tokens, span);
        }
    }

    /**
     * A request to an engine ended without telling anything about its health.
     *
     * @param upstream the engine
     */
    void inconclusive(UpstreamName upstream) {
        ejection.inconclusive(upstream);
    }

    /**
     * An engine failed.
     *
     * @param upstream the engine
     * @param suspected whether it may have stopped or started again
     */
    void failed(UpstreamName upstream, boolean suspected) {
        if (ejection.failed(upstream, resources.now())) {
            LogEvent.of("upstream-ejected").with("upstream", upstream).warn(log);
        }
        if (suspected) {
            resources.capacity().suspect(upstream, resources.now());
        }
    }

    /**
     * Another configuration came into force.
     *
     * @param configuration the objects
     */
    void configured(Configuration configuration) {
        Set<UpstreamName> names = new HashSet<>(configuration.upstreams().keySet());
        ejection.retain(names);
        rates.retain(names);
        prefixes.retain(names);
        boots.keySet().retainAll(names);
    }

    /**
     * Returns the fastest prefill rate among engines.
     *
     * @param upstreams the engines
     * @return tokens per second, 0 if there is none
     */
    double fastestRate(Iterable<Upstream> upstreams) {
        double fastest = 0;
        for (Upstream upstream : upstreams) {
            fastest = Math.max(fastest, rates.rate(upstream.name(), (double) upstream.prefillTokensPerSecond()));
        }
        return fastest;
    }

    /**
     * Returns the expectation of cached prefixes, for correction by cache events.
     *
     * @return the index
     */
    PrefixIndex prefixes() {
        return prefixes;
    }
}
