package org.endivehold.relay.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BiPredicate;

/**
 * Finds the traits of requests that crash upstreams, and bars them.
 *
 * <p>Some requests end each upstream that begins to serve them. The cause is either one part of the prompt that many
 * requests share, or a whole request that its caller sends again and again. A crash loses several requests, so this is
 * group testing: the traits of each lost request whose answer was just beginning become suspects of that crash. The
 * evidence is then reduced:
 *
 * <ul>
 *   <li>An answer that goes well clears the traits of its request, since one that crashes upstreams crashes each of
 *       them. Parts that many requests share are cleared all the time.
 *   <li>Crashes are counted by the upstream's start. A request that is lost, sent again and lost again counts twice;
 *       ten requests that are lost together count once.
 *   <li>A part that never went well is barred after {@value BarringRule#MIN_CRASHES} crashes, or up to
 *       {@value BarringRule#MAX_NEEDED_CRASHES} if many upstreams end without it: then coincidences are likely. One
 *       that did go well is barred after {@value BarringRule#MIN_CRASHES_OF_SOUND_PART} since it last did, without
 *       crashes that a barred trait explains.
 *   <li>A whole request is barred after {@value BarringRule#MIN_CRASHES} crashes since it last went well: an innocent
 *       one is hardly repeated, and lost, that often.
 *   <li>A suspect is not barred if suspects with more crashes explain all of its crashes. A part is not barred either
 *       if all of its crashes are those of one request that was repeated: then the request is the better explanation.
 * </ul>
 *
 * <p>Example: requests with parts (a, x), (b, x) and (a, x) end the upstreams 1, 2 and 3, and a request with (a, c),
 * which had just begun at 2, is lost as well. The crashes of x are {1, 2, 3}, those of a are {1, 2, 3}, too, and those
 * of c are {2}. A request with (a, d) that is answered clears a; x is barred, c is not. Had it been one request with
 * (a, x) each time, it would be barred alone, and other requests with x would be served.
 *
 * <p>A barred trait may be innocent, and the cause may be mended. So a request is let through now and then as a trial,
 * which is sound or one more crash. Trials get rarer each time. If other barred traits account for all crashes of a
 * barred part, it may be innocent; a request that has it without the others is let through at once, since its result
 * tells them apart.
 *
 * <p>All state merges in any order, repeatedly and late, so daemons exchange it without agreement.
 */
public final class CrashSuspects {
    /** Time from the verdict to the first trial, in milliseconds. */
    static final double FIRST_TRIAL_MILLIS = 60_000;
    /** Factor by which the time to the next trial grows with each trial. */
    private static final double TRIAL_FACTOR = 8;
    /** Longest time to the next trial, in milliseconds. */
    private static final double MAX_TRIAL_MILLIS = 24 * 3_600_000.0;
    /** Time for which the daemon that may try a trait stays the same, in milliseconds. */
    private static final double TRIAL_TURN_MILLIS = 3_000;
    /** Is notified of verdicts; does nothing by default. */
    public interface Listener {
        /** A trait was barred, on this evidence. */
        default void barred(SuspectTrait evidence) {}

        /** A trait that was barred is not barred any more. */
        default void released(RequestTrait trait) {}
    }

    private final BiPredicate<RequestTrait, Integer> hasTurn;
    private final Listener listener;
    private final CrashEvidence evidence = new CrashEvidence();
    private final BarringRule rule = new BarringRule(evidence);

    /**
     * Creates it without evidence.
     *
     * @param hasTurn whether this daemon is the one of the fleet that may try a trait, in the turn with a number
     * @param listener is notified of verdicts
     */
    public CrashSuspects(BiPredicate<RequestTrait, Integer> hasTurn, Listener listener) {
        this.hasTurn = hasTurn;
        this.listener = listener;
    }

    /**
     * Records that an upstream ended while answers were beginning.
     *
     * @param upstream the start of the upstream that ended
     * @param traits the traits of the requests that were lost
     * @param now time in milliseconds
     * @return the traits of which this crash was not known
     */
    public List<RequestTrait> recordCrash(UpstreamStart upstream, Collection<RequestTrait> traits, double now) {
        List<RequestTrait> news = new ArrayList<>();
        for (RequestTrait trait : traits) {
            if (evidence.addCrash(trait, upstream, now)) {
                news.add(trait);
            }
        }
        update(news, now);
        return news;
    }

    /**
     * Records that an upstream has answered on some traits without ending.
     *
     * @param traits the traits
     * @param at when the newest such answer was seen, in milliseconds
     * @return the suspects that this clears of a crash, or of which no answer was known to have gone well
     */
    public List<RequestTrait> recordSound(Collection<RequestTrait> traits, double at) {
        List<RequestTrait> news = new ArrayList<>();
        Set<UpstreamStart> unexplained = new HashSet<>();
        for (RequestTrait trait : traits) {
            boolean wasSound = evidence.soundAt(trait).isPresent();
            evidence.recordSound(trait, at);
            Optional<Suspect> suspect = evidence.suspect(trait);
            if (suspect.isEmpty()) {
                continue;
            }
            boolean wasBarred = suspect.get().isBarred();
            Set<UpstreamStart> crashes = Set.copyOf(suspect.get().crashes());
            if (suspect.get().clear(at) || !wasSound) {
                news.add(trait);
                unexplained.addAll(crashes);
            }
            if (wasBarred && !suspect.get().isBarred()) {
                listener.released(trait);
            }
        }
        // Crashes that these traits explained may count against others now.
        update(evidence.suspectsOf(unexplained), at);
        return news;
    }

    /** Takes over what another daemon knows against a trait; returns whether that is news. */
    public boolean merge(SuspectTrait theirs, double now) {
        boolean news = false;
        for (SuspectTrait.Crash crash : theirs.crashes()) {
            double at = now - crash.ageMillis();
            news |= at > evidence.soundAt(theirs.trait()).orElse(Double.NEGATIVE_INFINITY)
                    && evidence.addCrash(theirs.trait(), crash.upstream(), at);
        }
        update(List.of(theirs.trait()), now);
        Optional<Suspect> suspect = evidence.suspect(theirs.trait());
        if (suspect.isPresent() && theirs.trials() > suspect.get().trials()) {
            suspect.get().tried(theirs.trials(), now + trialInterval(theirs.trials()));
            news = true;
        }
        return news;
    }

    /** Returns whether an answer has gone well on each of some traits. */
    public boolean areSound(Collection<RequestTrait> traits) {
        return evidence.areSound(traits);
    }

    /** Returns the time since an answer with a trait last went well, in milliseconds; empty if that is not known. */
    public Optional<SoundTrait> sound(RequestTrait trait, double now) {
        OptionalDouble at = evidence.soundAt(trait);
        return at.isPresent() ? Optional.of(new SoundTrait(trait, now - at.getAsDouble())) : Optional.empty();
    }

    /** Returns what is known against all suspects. */
    public List<SuspectTrait> suspects(double now) {
        return evidence.suspects().entrySet().stream()
                .filter(entry -> !entry.getValue().crashes().isEmpty())
                .map(entry -> suspect(entry.getKey(), now))
                .toList();
    }

    /** Returns what is known against a suspect. */
    public SuspectTrait suspect(RequestTrait trait, double now) {
        Suspect suspect = evidence.suspect(trait).orElseThrow();
        return new SuspectTrait(trait, suspect.crashes(now), suspect.trials());
    }

    /** Returns the barred traits. */
    public List<RequestTrait> barredTraits() {
        return evidence.suspects().entrySet().stream()
                .filter(entry -> entry.getValue().isBarred())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the first barred trait of a request. */
    public Optional<RequestTrait> findBarred(Collection<RequestTrait> traits) {
        return traits.stream().filter(this::isBarred).findFirst();
    }

    /**
     * Decides about a request that has not been sent yet. A request that is let through as a trial is counted.
     *
     * @param traits its traits
     * @param now time in milliseconds
     */
    public Admission admit(Collection<RequestTrait> traits, double now) {
        Optional<RequestTrait> barred = findBarred(traits);
        if (barred.isEmpty()) {
            return new Admission(Admission.Verdict.SEND, barred);
        }
        if (mayTry(traits, now)) {
            barredAmong(traits)
                    .forEach(trait -> countTrial(evidence.suspect(trait).orElseThrow(), now));
            return new Admission(Admission.Verdict.TRY, barred);
        }
        return new Admission(Admission.Verdict.REFUSE, barred);
    }

    private List<RequestTrait> barredAmong(Collection<RequestTrait> traits) {
        return traits.stream().filter(this::isBarred).distinct().toList();
    }

    private boolean isBarred(RequestTrait trait) {
        return evidence.suspect(trait).filter(Suspect::isBarred).isPresent();
    }

    /** Returns whether a request is this daemon's next trial; its result would not tell two barred parts apart. */
    private boolean mayTry(Collection<RequestTrait> traits, double now) {
        List<RequestTrait> barred = barredAmong(traits);
        long parts = barred.stream().filter(trait -> !trait.isWholeRequest()).count();
        double dueAt = barred.stream()
                .mapToDouble(trait -> trialDueAt(trait, traits))
                .max()
                .orElse(Double.POSITIVE_INFINITY);
        return parts <= 1 && now >= dueAt && hasTurn.test(barred.get(0), (int) ((now - dueAt) / TRIAL_TURN_MILLIS));
    }

    private double trialDueAt(RequestTrait trait, Collection<RequestTrait> traits) {
        Suspect suspect = evidence.suspect(trait).orElseThrow();
        return rule.isAmbiguous(trait, traits) ? suspect.barredAt() : suspect.nextTrialAt();
    }

    private static void countTrial(Suspect suspect, double now) {
        int trials = suspect.trials() + 1;
        suspect.tried(trials, now + trialInterval(trials));
    }

    /**
     * Returns whether a request that was lost may be sent again: none of its traits is a suspect of another crash.
     *
     * @param traits its traits
     * @param lostAt the upstream's start at which it was lost
     */
    public boolean mayRetry(Collection<RequestTrait> traits, UpstreamStart lostAt) {
        return traits.stream().noneMatch(trait -> rule.isSuspectOfAnotherCrash(trait, lostAt));
    }

    /** Forgets what is old. */
    public void expire(double now) {
        evidence.expire(now);
    }

    /**
     * Returns whether any whole request with a body of some size is suspected. Only then does a request of this size
     * have to be compared with it, which takes a digest of its body.
     *
     * @param bodyBytes size of the body, in bytes
     */
    public boolean suspectsRequestOfSize(int bodyBytes) {
        return evidence.suspects().keySet().stream().anyMatch(trait -> trait.isRequestOfSize(bodyBytes));
    }

    /** Decides again about the traits whose evidence has changed, and about barred ones that these may explain. */
    private void update(Collection<RequestTrait> changed, double now) {
        Set<RequestTrait> affected = new LinkedHashSet<>(changed);
        affected.addAll(barredTraits());
        for (RequestTrait trait : affected) {
            Optional<Suspect> known = evidence.suspect(trait);
            if (known.isEmpty()) {
                continue;
            }
            Suspect suspect = known.get();
            boolean barred = rule.isToBeBarred(trait, suspect);
            if (barred && !suspect.isBarred()) {
                suspect.bar(now, now + trialInterval(suspect.trials()));
                listener.barred(suspect(trait, now));
            } else if (!barred && suspect.isBarred()) {
                suspect.unbar();
                listener.released(trait);
            }
        }
    }

    private static double trialInterval(int trials) {
        return Math.min(MAX_TRIAL_MILLIS, FIRST_TRIAL_MILLIS * Math.pow(TRIAL_FACTOR, trials));
    }
}
