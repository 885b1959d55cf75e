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
import org.endivehold.placement.LeastPredictedTime;
import org.endivehold.placement.LongPromptUpstreams;
import org.endivehold.placement.OutlierEjection;
import org.endivehold.placement.PrefillRateEstimator;
import org.endivehold.placement.PrefixIndex;
import org.jboss.logging.Logger;

/**
 * Selects an engine for a request, from this daemon's shares, the configuration and the observed state of each engine.
 */
final class EngineSelector {
    /** Round trip within an availability zone, in milliseconds. */
    static final double SAME_ZONE_ROUND_TRIP_MILLIS = 0.5;
    /** Round trip between availability zones of a region, in milliseconds. */
    static final double OTHER_ZONE_ROUND_TRIP_MILLIS = 3.0;

    private static final Logger log = Logger.getLogger(EngineSelector.class);
    /** Prompt blocks kept in the prefix index; bounds its memory. */
    private static final int MAX_PREFIX_BLOCKS = 20_000;

    private final GenerationResources resources;
    private final PrefillRateEstimator prefillRates = new PrefillRateEstimator();
    private final OutlierEjection ejection = new OutlierEjection();
    private final PrefixIndex prefixIndex = new PrefixIndex(MAX_PREFIX_BLOCKS);
    private final LongPromptUpstreams longPromptUpstreams = new LongPromptUpstreams();
    private final Map<UpstreamName, Long> pendingPrefillTokens = new HashMap<>();
    private final Map<UpstreamName, BootNumber> bootNumbers = new HashMap<>();

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
     * @param candidate the state of the engine when it was selected
     * @param permits permits for the request on the engine
     */
    record Selection(Candidate candidate, List<Permit> permits) {}

    /**
     * Counts an arriving request.
     *
     * @param requirements requirements of the request
     */
    void arrived(EngineRequirements requirements) {
        longPromptUpstreams.arrived(requirements.promptTokens(), requirements.isLong(), resources.now());
    }

    /**
     * Selects an engine with enough free capacity and acquires a permit for it.
     *
     * @param requirements requirements of the request
     * @return the engine, or empty if the request has to wait
     */
    Optional<Selection> select(EngineRequirements requirements) {
        List<Candidate> candidates = candidates(requirements, requirements.memoryTokens());
        List<Candidate> preferred = candidates.stream()
                .filter(c -> !requirements.failedUpstreams().contains(c.upstream()))
                .toList();
        return resources
                .placementPolicy()
                .choose(requirements.placement(), preferred.isEmpty() ? candidates : preferred)
                .flatMap(chosen -> resources
                        .capacity()
                        .acquire(chosen.upstream(), requirements.memoryTokens(), resources.now())
                        .map(permit -> new Selection(chosen, List.of(permit))));
    }

    /**
     * Finds engines that can take a request now: with a free slot and enough free memory.
     *
     * @param requirements requirements of the request
     * @param memoryTokens required free memory, in tokens
     * @return candidates, ordered by name
     */
    List<Candidate> candidates(EngineRequirements requirements, long memoryTokens) {
        PlacementInputs inputs = placementInputs(requirements);
        List<Candidate> found = new ArrayList<>();
        for (Share share : resources.capacity().shares(resources.now())) {
            boolean room = share.freeSlots() > 0 && share.freeMemoryTokens() >= memoryTokens;
            if (room && inputs.allows(share.upstream())) {
                found.add(candidate(inputs, share));
            }
        }
        return found;
    }

    /**
     * Describes one engine, regardless of its free capacity.
     *
     * @param requirements requirements of the request
     * @param name the engine
     * @return the engine as a candidate, or empty if it takes no new work
     */
    Optional<Candidate> describe(EngineRequirements requirements, UpstreamName name) {
        PlacementInputs inputs = placementInputs(requirements);
        if (!inputs.serving().containsKey(name)) {
            return Optional.empty();
        }
        return resources.capacity().shares(resources.now()).stream()
                .filter(share -> share.upstream().equals(name))
                .findFirst()
                .map(share -> candidate(inputs, share));
    }

    /**
     * Returns the length of the longest prompt prefix that any engine is expected to have cached.
     *
     * @param requirements requirements of the request
     * @return number of tokens, 0 if there is none
     */
    long longestCachedPrefix(EngineRequirements requirements) {
        return prefixIndex.expected(requirements.prefixHashes()).values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    /**
     * Returns the engines of all versions that take new work.
     *
     * @return their names, sorted
     */
    List<UpstreamName> servingEngines() {
        return resources.currentConfiguration().map(ServingUpstreams::of).orElseGet(TreeMap::new).values().stream()
                .filter(upstream -> upstream.kind() == Upstream.Kind.ENGINE)
                .map(Upstream::name)
                .toList();
    }

    /**
     * Orders the engines that a long prompt may use.
     *
     * @param requirements requirements of the request
     * @return names, the most suitable first
     */
    List<UpstreamName> longPromptCandidates(EngineRequirements requirements) {
        PlacementInputs inputs = placementInputs(requirements);
        List<Candidate> found = new ArrayList<>();
        for (Share share : resources.capacity().shares(resources.now())) {
            if (inputs.allows(share.upstream())) {
                found.add(candidate(inputs, share));
            }
        }
        Comparator<Candidate> failed =
                Comparator.comparing(c -> requirements.failedUpstreams().contains(c.upstream()));
        Comparator<Candidate> notForLongPrompts = Comparator.comparing(c -> !c.longAllowed());
        Comparator<Candidate> predicted =
                Comparator.comparingDouble(c -> LeastPredictedTime.predictedMillis(requirements.placement(), c));
        return found.stream()
                .sorted(failed.thenComparing(notForLongPrompts).thenComparing(predicted))
                .map(Candidate::upstream)
                .toList();
    }

    /**
     * Returns the configured engines that serve a version and take new work, regardless of their free capacity.
     *
     * @param version the version
     * @return the engines by name
     */
    Map<UpstreamName, Upstream> servingEngines(VersionName version) {
        Map<UpstreamName, Upstream> engines = new TreeMap<>(
                resources.currentConfiguration().map(ServingUpstreams::of).orElseGet(TreeMap::new));
        engines.values()
                .removeIf(u -> u.kind() != Upstream.Kind.ENGINE || !u.versions().contains(version));
        return engines;
    }

    /**
     * Inputs of one placement that are computed once for all engines.
     *
     * @param serving engines that serve the version and take new work
     * @param cachedTokens length of the prompt prefix that each engine is expected to have cached, in tokens
     * @param longPromptEngines engines that long prompts may use
     * @param ejected engines that get no requests for a time after repeated failures
     */
    private record PlacementInputs(
            Map<UpstreamName, Upstream> serving,
            Map<UpstreamName, Long> cachedTokens,
            Set<UpstreamName> longPromptEngines,
            Set<UpstreamName> ejected) {
        boolean allows(UpstreamName name) {
            return serving.containsKey(name) && !ejected.contains(name);
        }
    }

    private PlacementInputs placementInputs(EngineRequirements requirements) {
        Map<UpstreamName, Upstream> serving = servingEngines(requirements.version());
        List<UpstreamName> names = List.copyOf(serving.keySet());
        long now = resources.now();
        Set<UpstreamName> ejected = names.stream()
                .filter(name -> !ejection.allows(name, now))
                .collect(Collectors.toCollection(TreeSet::new));
        return new PlacementInputs(
                serving, prefixIndex.expected(requirements.prefixHashes()), longPromptUpstreams.select(names), ejected);
    }

    private Candidate candidate(PlacementInputs inputs, Share share) {
        Upstream upstream = inputs.serving().get(share.upstream());
        double rate = prefillRates.rate(upstream.name(), (double) upstream.prefillTokensPerSecond());
        long pendingTokens = pendingPrefillTokens.getOrDefault(upstream.name(), 0L);
        return new Candidate(
                upstream.name(),
                upstream.zone(),
                share.freeSlots(),
                share.freeMemoryTokens(),
                share.usedSlots(),
                pendingTokens,
                rate,
                inputs.cachedTokens().getOrDefault(upstream.name(), 0L),
                roundTripMillis(upstream.zone()),
                inputs.longPromptEngines().contains(upstream.name()));
    }

    private double roundTripMillis(ZoneName zone) {
        return zone.equals(resources.context().settings().zone())
                ? SAME_ZONE_ROUND_TRIP_MILLIS
                : OTHER_ZONE_ROUND_TRIP_MILLIS;
    }

    /**
     * A request is about to be sent to an engine.
     *
     * @param upstream the engine
     * @param requirements requirements of the request
     * @param prefillTokens prompt tokens of the request that are not cached and have to be prefilled there
     */
    void sent(UpstreamName upstream, EngineRequirements requirements, long prefillTokens) {
        ejection.sent(upstream);
        prefixIndex.sent(upstream, requirements.prefixHashes());
        pendingPrefillTokens.merge(upstream, prefillTokens, Long::sum);
    }

    /**
     * The prefill of a request has ended, or the request has.
     *
     * @param upstream the engine
     * @param prefillTokens the number that was given to {@link #sent}
     */
    void prefillEnded(UpstreamName upstream, long prefillTokens) {
        pendingPrefillTokens.computeIfPresent(
                upstream, (name, sum) -> sum <= prefillTokens ? null : sum - prefillTokens);
    }

    /**
     * An engine accepted a stream.
     *
     * @param upstream the engine
     * @param boot its boot number
     * @param expectedTokens length of the prompt prefix that was expected in its cache, in tokens
     * @param cachedTokens length of the prompt prefix that it found in its cache, in tokens
     */
    void accepted(UpstreamName upstream, BootNumber boot, long expectedTokens, long cachedTokens) {
        ejection.succeeded(upstream);
        BootNumber before = bootNumbers.put(upstream, boot);
        if (before != null && !before.equals(boot)) {
            prefixIndex.restarted(upstream);
            resources.capacity().suspect(upstream, resources.now());
            LogEvent.of("upstream-restarted")
                    .with("upstream", upstream)
                    .with("boot", boot)
                    .info(log);
        }
        prefixIndex.observed(upstream, expectedTokens, cachedTokens);
    }

    /**
     * The first token of a request arrived; updates the prefill rate of the engine.
     *
     * @param candidate the state of the engine when it was selected
     * @param prefillTokens prompt tokens that it prefilled for the request
     * @param millis time since the request was sent, in milliseconds
     */
    void firstToken(Candidate candidate, long prefillTokens, long millis) {
        Upstream upstream = resources
                .currentConfiguration()
                .map(Configuration::upstreams)
                .map(all -> all.get(candidate.upstream()))
                .orElse(null);
        if (upstream != null) {
            long tokens = candidate.prefillTokensAhead() + prefillTokens;
            double prefillMillis = millis - candidate.roundTripMillis();
            prefillRates.sample(
                    candidate.upstream(), (double) upstream.prefillTokensPerSecond(), tokens, prefillMillis);
        }
    }

    /**
     * A request to an engine ended without evidence about the health of the engine.
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
     * @param suspected whether it may have stopped or restarted
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
     * Another configuration came into force; forgets engines that it does not contain.
     *
     * @param configuration the configuration
     */
    void configurationActivated(Configuration configuration) {
        Set<UpstreamName> names = new HashSet<>(configuration.upstreams().keySet());
        ejection.retain(names);
        prefillRates.retain(names);
        prefixIndex.retain(names);
        bootNumbers.keySet().retainAll(names);
    }

    /**
     * Returns the fastest prefill rate among engines.
     *
     * @param upstreams the engines
     * @return tokens per second, 0 if there is none
     */
    double fastestPrefillRate(Iterable<Upstream> upstreams) {
        double fastest = 0;
        for (Upstream upstream : upstreams) {
            fastest = Math.max(fastest, prefillRates.rate(upstream.name(), (double) upstream.prefillTokensPerSecond()));
        }
        return fastest;
    }

    /**
     * Returns the index of the prompt prefixes that engines are expected to have cached.
     *
     * @return the index
     */
    PrefixIndex prefixIndex() {
        return prefixIndex;
    }
}
