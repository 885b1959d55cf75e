package org.endivehold.relay.crash;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides by the evidence which traits are barred and which lost requests are not sent again; the class comment of
 * {@link CrashSuspects} argues why.
 */
final class BarringRule {
    /** Crashes after which a trait is barred with which no answer has gone well. */
    static final int MIN_CRASHES = 3;
    /** Crashes after which such a part is barred however many upstreams end without it. */
    static final int MAX_NEEDED_CRASHES = 5;
    /** Recent crashes without a part per additional crash that is needed to bar it. */
    private static final int OTHER_CRASHES_PER_NEEDED_CRASH = 6;
    /** Time for which a crash counts as recent, in milliseconds. */
    private static final double RECENT_MILLIS = 10_000;
    /** Crashes since the last answer that went well after which a part is barred. */
    static final int MIN_CRASHES_OF_SOUND_PART = 5;
    /** Other crashes since the last answer that went well after which a lost request is not sent again. */
    private static final int MIN_OTHER_CRASHES_OF_SOUND_PART = 2;

    private final CrashEvidence evidence;

    BarringRule(CrashEvidence evidence) {
        this.evidence = evidence;
    }

    /** Returns whether the evidence suffices to bar a trait. */
    boolean isToBeBarred(RequestTrait trait, Suspect suspect) {
        if (trait.isWholeRequest()) {
            return suspect.crashes().size() >= MIN_CRASHES
                    && hasUnexplained(suspect, other -> isCertain(other) && hasMoreCrashes(other, suspect));
        }
        if (isSound(trait)) {
            return evidence.unexplained(suspect, this::isBarredWithoutSoundAnswer)
                            .size()
                    >= MIN_CRASHES_OF_SOUND_PART;
        }
        return suspect.crashes().size() >= neededCrashes(suspect)
                && !isOfOneRequest(suspect)
                && hasUnexplained(suspect, other -> isWithoutSoundAnswer(other) && hasMoreCrashes(other, suspect));
    }

    /** Returns whether a trait is a suspect of another crash than that of a lost request. */
    boolean isSuspectOfAnotherCrash(RequestTrait trait, UpstreamStart lostAt) {
        Suspect suspect = evidence.suspects().get(trait);
        if (suspect == null) {
            return false;
        }
        if (trait.isWholeRequest()) {
            Set<UpstreamStart> others = evidence.unexplained(suspect, this::isCertain);
            others.remove(lostAt);
            return !others.isEmpty();
        }
        long others = suspect.crashes().stream()
                .filter(upstream -> !upstream.equals(lostAt))
                .count();
        return others >= (isSound(trait) ? MIN_OTHER_CRASHES_OF_SOUND_PART : 1);
    }

    /** Returns whether barred traits that a request does not have account for all crashes of one that it has. */
    boolean isAmbiguous(RequestTrait trait, Collection<RequestTrait> traits) {
        Suspect suspect = evidence.suspects().get(trait);
        return suspect.trials() == 0
                && !hasUnexplained(
                        suspect,
                        other -> !traits.contains(other)
                                && evidence.suspects().get(other).isBarred());
    }

    private boolean hasUnexplained(Suspect suspect, Predicate<RequestTrait> condition) {
        return !evidence.unexplained(suspect, condition).isEmpty();
    }

    /** Returns whether one request, sent again each time, accounts for all crashes of a suspect. */
    private boolean isOfOneRequest(Suspect suspect) {
        return evidence.suspects().entrySet().stream()
                .filter(entry -> entry.getKey().isWholeRequest())
                .anyMatch(entry -> entry.getValue().crashes().containsAll(suspect.crashes()));
    }

    /** Returns whether a suspect has enough crashes to be barred, whatever else crashes upstreams. */
    private boolean isCertain(RequestTrait trait) {
        return isWithoutSoundAnswer(trait)
                && crashes(trait) >= (trait.isWholeRequest() ? MIN_CRASHES : MAX_NEEDED_CRASHES);
    }

    private boolean isBarredWithoutSoundAnswer(RequestTrait trait) {
        return isWithoutSoundAnswer(trait) && crashes(trait) >= MIN_CRASHES;
    }

    private boolean hasMoreCrashes(RequestTrait trait, Suspect than) {
        return crashes(trait) > than.crashes().size();
    }

    private int crashes(RequestTrait trait) {
        return evidence.suspects().get(trait).crashes().size();
    }

    private boolean isSound(RequestTrait trait) {
        return evidence.soundAt(trait).isPresent();
    }

    /** Returns whether no answer went well on a part; the crashes of a whole request are only those since one did. */
    private boolean isWithoutSoundAnswer(RequestTrait trait) {
        return trait.isWholeRequest() || !isSound(trait);
    }

    /**
     * Returns the number of crashes that bar a part, by the number of upstreams that ended without it before its newest
     * crash.
     */
    private int neededCrashes(Suspect suspect) {
        long others = evidence.crashesWithout(suspect, RECENT_MILLIS);
        return (int) Math.min(MAX_NEEDED_CRASHES, MIN_CRASHES + others / OTHER_CRASHES_PER_NEEDED_CRASH);
    }
}
