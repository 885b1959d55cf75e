package org.endivehold.relay.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CrashSuspectsTest {
    private final CrashSuspects suspects =
            new CrashSuspects((part, turn) -> turn % 2 == 0, new CrashSuspects.Listener() {});
    private double now = 1_000;

    private static List<RequestTrait> parts(String names) {
        return names.isEmpty()
                ? List.of()
                : Stream.of(names.split(" ")).map(CrashSuspectsTest::trait).toList();
    }

    /** Capital letters name whole requests, small ones parts of prompts. */
    private static RequestTrait trait(String name) {
        return Character.isUpperCase(name.charAt(0))
                ? new RequestTrait(RequestTrait.Kind.WHOLE_REQUEST, name)
                : RequestTrait.promptPart(name);
    }

    private static UpstreamStart start(String upstream) {
        return new UpstreamStart(upstream, 7);
    }

    private List<RequestTrait> crash(String upstream, String names) {
        return suspects.recordCrash(start(upstream), parts(names), now++);
    }

    /** Plays evidence such as {@code 1=a+x} (upstream 1 ended under parts a and x) and {@code ok=a}. */
    private void play(String evidence) {
        for (String item : evidence.split(" ", -1)) {
            String[] sides = item.split("=", -1);
            String names = sides[1].replace('+', ' ');
            if (sides[0].equals("ok")) {
                suspects.recordSound(parts(names), now++);
            } else {
                crash(sides[0], names);
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "none",
            value = {
                "1=x 2=x                               | none | two crashes may be a coincidence",
                "1=x 2=x 3=x                           | x    | three are not",
                "1=x 1=x 1=x 1=x                       | none | requests lost together count once",
                "1=x 2=x ok=x 3=x 4=x                  | none | an answer that goes well clears a part",
                "1=a+x 2=b+x 3=c+x                     | x    | only the common part is barred",
                "ok=a 1=a+x 2=a+x 3=a+x                | x    | a part of which answers go well is not",
                "1=a+x 2=a+x 3=a+x                     | a x  | two parts that always come together look the same",
                "1=a+x 2=a+x 3=a+x 4=x                 | x    | a part is not barred if another one explains it",
                "1=a+x 2=a+x 3=a+x ok=a                | x    | a late answer that goes well clears a barred part",
                "ok=x 1=x 2=x 3=x 4=x                  | none | a part that went well needs more evidence",
                "ok=x 1=x 2=x 3=x 4=x 5=x              | x    | it may have begun to crash upstreams",
                "ok=a 1=a+x 2=a+x 3=a+x 4=a+x 5=a+x    | x    | crashes that a barred part explains do not count then",
                "ok=x 1=x+a 2=x+a 3=x+a 4=x 5=x ok=a   | x    | nor any more once an answer on that one goes well",
                "1=x 2=x 3=x+y 4=y 5=y                 | x y  | two parts crash upstreams at the same time",
                "1=R 2=R                               | none | two lost repeats of a request may be a coincidence",
                "1=R 2=R 3=R                           | R    | three are not",
                "1=a+R 2=a+R 3=a+R                     | R    | a part is not barred for repeats of one request",
                "ok=a 1=a+R 2=a+R 3=a+R 4=a+R 5=a+R    | R    | nor one of which answers go well",
                "1=x+R 2=x+R 3=x+R 4=x+S               | R x  | a second request makes the part a cause as well",
                "1=x+R 2=x+R 3=x+R 4=x+S 5=x+T         | x    | with a third, it is, and its requests are not",
                "1=R 2=R ok=R 3=R 4=R                  | none | a request that was answered begins anew",
                "1=R 2=R ok=R 3=R 4=R 5=R              | R    | and is barred after as many crashes",
                "1=R+S 2=R+S 3=R+S 4=R                 | R    | a request that is lost with another's crashes is not",
                "1=R 2=R 3=R+S 4=S 5=S                 | R S  | two requests crash upstreams at the same time",
            })
    void evidenceDecidesWhichPartsAreBarred(String evidence, String barred, String why) {
        play(evidence);
        List<String> ids =
                suspects.barredTraits().stream().map(RequestTrait::id).sorted().toList();
        assertEquals(barred == null ? List.of() : List.of(barred.split(" ")), ids, why);
    }

    @Test
    void onlyTheFirstReportOfACrashIsNews() {
        assertEquals(parts("a b"), crash("1", "a b"));
        assertEquals(parts("c"), crash("1", "a c"));
    }

    @ParameterizedTest
    @CsvSource({
        "1=x,              x, 1, true",
        "1=x 2=x,          x, 2, false",
        "ok=a 1=a 2=a,     a, 2, true",
        "ok=a 1=a 2=a 3=a, a, 3, false",
        "1=x 2=y,          x, 1, true",
        "1=R,              R, 1, true",
        "1=R 2=R,          R, 2, false",
        "1=a+R 2=b+R,      R, 2, false",
        "1=S+R 2=S+R 3=S 4=S, R, 2, true",
    })
    void aLostRequestIsSentAgainUnlessATraitIsASuspectOfAnotherCrash(
            String evidence, String part, String lostAt, boolean may) {
        play(evidence);
        assertEquals(may, suspects.mayRetry(parts(part), start(lostAt)));
    }

    @Test
    void trialsGetRarerAndAreTakenByTheDaemonWhoseTurnItIs() {
        play("1=x 2=x 3=x");
        assertEquals(Admission.Verdict.SEND, suspects.admit(parts("y"), now).verdict());
        assertEquals(Admission.Verdict.REFUSE, suspects.admit(parts("x"), now).verdict());
        double due = now + CrashSuspects.FIRST_TRIAL_MILLIS;
        assertEquals(
                Admission.Verdict.REFUSE,
                suspects.admit(parts("x"), due + 4_000).verdict(),
                "another one's turn");
        assertEquals(
                Admission.Verdict.TRY, suspects.admit(parts("x"), due + 6_500).verdict());
        assertEquals(
                Admission.Verdict.REFUSE,
                suspects.admit(parts("x"), due + 6_501).verdict());
        double next = due + 6_500 + 8 * CrashSuspects.FIRST_TRIAL_MILLIS;
        assertEquals(
                Admission.Verdict.REFUSE, suspects.admit(parts("x"), next - 1).verdict());
        assertEquals(Admission.Verdict.TRY, suspects.admit(parts("x"), next).verdict());
    }

    /** Two parts always came together; a request that has only one of them shows at once which it is. */
    @Test
    void aRequestThatTellsTwoBarredPartsApartIsTriedAtOnce() {
        play("1=a+x 2=a+x 3=a+x");
        assertEquals(Admission.Verdict.REFUSE, suspects.admit(parts("a x"), now).verdict());
        assertEquals(Admission.Verdict.TRY, suspects.admit(parts("a b"), now).verdict());
        assertEquals(Admission.Verdict.REFUSE, suspects.admit(parts("a b"), now).verdict(), "one is enough");
        suspects.recordSound(parts("a b"), now + 1_000);
        assertEquals(parts("x"), suspects.barredTraits());
    }

    @Test
    void whatAnotherDaemonKnowsIsMergedByItsAge() {
        SuspectTrait.Crash old = new SuspectTrait.Crash(start("1"), 500);
        suspects.recordSound(parts("x"), now - 100);
        assertFalse(
                suspects.merge(new SuspectTrait(RequestTrait.promptPart("x"), List.of(old), 0), now),
                "it went well since");
        SuspectTrait.Crash recent = new SuspectTrait.Crash(start("2"), 50);
        assertTrue(suspects.merge(new SuspectTrait(RequestTrait.promptPart("x"), List.of(recent), 0), now));
        assertFalse(
                suspects.merge(new SuspectTrait(RequestTrait.promptPart("x"), List.of(recent), 0), now),
                "known already");
    }

    /** If nobody told the others, a daemon that never had a sound answer on a part would take it for the culprit. */
    @Test
    void theFirstAnswerThatWentWellOnASuspectIsNewsHoweverOldItIs() {
        crash("1", "a");
        assertEquals(parts("a"), suspects.recordSound(parts("a"), now - 500));
        assertEquals(List.of(), suspects.recordSound(parts("a"), now - 400));
        assertEquals(List.of(), suspects.recordSound(parts("b"), now - 400), "not a suspect");
    }

    @Test
    void evidenceIsForgottenAfterSomeTimeButNotVerdicts() {
        play("1=x 2=x 3=x 4=y");
        suspects.expire(now + 3_600_000);
        assertEquals(parts("x"), suspects.barredTraits());
        assertEquals(1, suspects.suspects(now).size());
    }

    /** Upstreams end all the time for other reasons: that does not raise what a whole request needs. */
    @Test
    void aRepeatedRequestIsBarredAfterItsThirdCrashInAStorm() {
        for (int i = 0; i < 30; i++) {
            crash("u" + i, "p" + i + " P" + i);
        }
        play("1=R 2=R 3=R");
        assertEquals(parts("R"), suspects.barredTraits());
    }

    @Test
    void aTrialOfABarredRequestCountsForItsBarredPartAsWell() {
        play("1=x+R 2=x+R 3=x+R 4=x+S");
        double due = now + CrashSuspects.FIRST_TRIAL_MILLIS;
        assertEquals(
                Admission.Verdict.TRY, suspects.admit(parts("x R"), due + 500).verdict());
        assertEquals(
                Admission.Verdict.REFUSE,
                suspects.admit(parts("x T"), due + 600).verdict());
    }

    /** A caller invents new parts; what is known of the barred ones stays. */
    @Test
    void memoryIsBoundedAndBarredPartsAreKept() {
        play("1=x 2=x 3=x");
        for (int i = 0; i < 5_000; i++) {
            crash("u" + i, "p" + i);
        }
        assertEquals(512, suspects.suspects(now).size());
        assertEquals(parts("x"), suspects.barredTraits());
    }
}
