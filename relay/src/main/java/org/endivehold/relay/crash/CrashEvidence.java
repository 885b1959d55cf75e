package org.endivehold.relay.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What is known of crashes of upstreams and of answers that went well, by the traits of requests; bounded in memory.
 */
final class CrashEvidence {
    /** Most recent crashes that are remembered. */
    private static final int MAX_RECENT_CRASHES = 256;
    /** Time for which crashes and answers are remembered, in milliseconds; barred traits are remembered longer. */
    private static final double MEMORY_MILLIS = 600_000;
    /** Most suspects that are remembered. */
    private static final int MAX_SUSPECTS = 512;
    /** Most parts of which it is remembered that an answer went well; the least recent are forgotten first. */
    private static final int MAX_SOUND_PARTS = 8_192;

    private final Map<RequestTrait, Suspect> suspects = new LinkedHashMap<>();
    private final Map<UpstreamStart, Double> recentCrashes = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamStart, Double> eldest) {
            return size() > MAX_RECENT_CRASHES;
        }
    };
    private final Map<RequestTrait, Double> soundAt = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestTrait, Double> eldest) {
            return size() > MAX_SOUND_PARTS;
        }
    };

    /** Returns the suspects. */
    Map<RequestTrait, Suspect> suspects() {
        return suspects;
    }

    /** Returns what is known against a trait, if it is a suspect. */
    Optional<Suspect> suspect(RequestTrait trait) {
        return Optional.ofNullable(suspects.get(trait));
    }

    /** Adds a crash of a trait; returns whether it was not known. */
    boolean addCrash(RequestTrait trait, UpstreamStart upstream, double at) {
        recentCrashes.putIfAbsent(upstream, at);
        boolean news = suspects.computeIfAbsent(trait, t -> new Suspect()).add(upstream, at);
        if (suspects.size() > MAX_SUSPECTS) {
            forgetOne();
        }
        return news;
    }

    /** Forgets the suspect with the least evidence, the oldest of them; a barred one only if all are. */
    private void forgetOne() {
        RequestTrait weakest = suspects.entrySet().stream()
                .min(Comparator.comparing((Map.Entry<RequestTrait, Suspect> entry) ->
                                entry.getValue().isBarred())
                        .thenComparingInt(entry -> entry.getValue().crashes().size()))
                .map(Map.Entry::getKey)
                .orElseThrow();
        suspects.remove(weakest);
    }

    /** Records when an answer with a trait went well. Whole requests are remembered only while they are suspects. */
    void recordSound(RequestTrait trait, double at) {
        if (!trait.isWholeRequest() || suspects.containsKey(trait)) {
            soundAt.merge(trait, at, Math::max);
        }
    }

    /** Returns when an answer with a trait last went well, in milliseconds; empty if that is not known. */
    OptionalDouble soundAt(RequestTrait trait) {
        Double at = soundAt.get(trait);
        return at == null ? OptionalDouble.empty() : OptionalDouble.of(at);
    }

    /** Returns whether an answer has gone well with each of some traits. */
    boolean areSound(Collection<RequestTrait> traits) {
        return soundAt.keySet().containsAll(traits);
    }

    /** Returns the suspects of any of some crashes. */
    List<RequestTrait> suspectsOf(Set<UpstreamStart> crashes) {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().crashes().stream().anyMatch(crashes::contains))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the crashes of a suspect that are not crashes of any other suspect that meets a condition. */
    Set<UpstreamStart> unexplained(Suspect suspect, Predicate<RequestTrait> condition) {
        Set<UpstreamStart> unexplained = new HashSet<>(suspect.crashes());
        suspects.forEach((other, evidence) -> {
            if (evidence != suspect && condition.test(other)) {
                unexplained.removeAll(evidence.crashes());
            }
        });
        return unexplained;
    }

    /** Returns how many upstreams ended without a suspect in the time before its newest crash, in milliseconds. */
    long crashesWithout(Suspect suspect, double withinMillis) {
        double newest = suspect.newestCrashAt();
        return recentCrashes.entrySet().stream()
                .filter(crash -> crash.getValue() <= newest && crash.getValue() > newest - withinMillis)
                .filter(crash -> !suspect.knows(crash.getKey()))
                .count();
    }

    /** Forgets what is old. */
    void expire(double now) {
        suspects.values().removeIf(s -> !s.isBarred() && now - s.newestCrashAt() > MEMORY_MILLIS);
        soundAt.values().removeIf(at -> now - at > MEMORY_MILLIS);
    }
}
