package org.endivehold.ledger;

import static org.endivehold.ledger.FakeKey.Outcome.APPLIED_LATE_UNANSWERED;
import static org.endivehold.ledger.FakeKey.Outcome.APPLIED_UNANSWERED;
import static org.endivehold.ledger.FakeKey.Outcome.DONE;
import static org.endivehold.ledger.FakeKey.Outcome.NOT_APPLIED_UNANSWERED;
import static org.endivehold.ledger.FakeKey.Outcome.UNAVAILABLE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.endivehold.ledger.FakeKey.Outcome;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class LedgerProcedureTest {
    private static final RecordedAnswer ANSWER = new RecordedAnswer(201, Map.of(), new byte[] {7}, true);

    private final FakeKey key = new FakeKey();

    private static LedgerEntry entry(String claim) {
        return new LedgerEntry(
                new ClaimId(claim),
                "digest",
                new HostId("entry-1"),
                new Incarnation(1),
                1_000,
                LedgerEntry.State.CLAIMED,
                Optional.empty());
    }

    /** Runs a procedure to its end; the last outcome applies to all further operations. */
    private LedgerStep run(LedgerProcedure procedure, List<Outcome> outcomes) {
        LedgerStep step = procedure.start();
        for (int i = 0; !isFinal(step); i++) {
            assertTrue(i < 50, "the procedure does not end");
            step = key.execute(procedure, step, outcomes.get(Math.min(i, outcomes.size() - 1)), 0);
        }
        return step;
    }

    private static boolean isFinal(LedgerStep step) {
        return !(step instanceof LedgerStep.Swap
                || step instanceof LedgerStep.Read
                || step instanceof LedgerStep.Delete);
    }

    static Stream<Arguments> claims() {
        return Stream.of(
                Arguments.of(List.of(DONE), new LedgerStep.Held(1)),
                Arguments.of(List.of(UNAVAILABLE, DONE), new LedgerStep.Held(1)),
                Arguments.of(List.of(APPLIED_UNANSWERED, DONE), new LedgerStep.Held(1)),
                Arguments.of(List.of(APPLIED_UNANSWERED, UNAVAILABLE, DONE), new LedgerStep.Held(1)),
                Arguments.of(List.of(NOT_APPLIED_UNANSWERED, DONE, DONE), new LedgerStep.Held(1)),
                Arguments.of(List.of(APPLIED_LATE_UNANSWERED, DONE, DONE), new LedgerStep.Held(1)),
                Arguments.of(List.of(UNAVAILABLE), new LedgerStep.Unavailable(false)),
                Arguments.of(List.of(NOT_APPLIED_UNANSWERED), new LedgerStep.Unavailable(true)),
                Arguments.of(List.of(APPLIED_UNANSWERED), new LedgerStep.Unavailable(true)));
    }

    @ParameterizedTest
    @MethodSource("claims")
    void claims(List<Outcome> outcomes, LedgerStep end) {
        assertEquals(end, run(new ClaimProcedure(entry("own"), Long.MAX_VALUE), outcomes));
    }

    @Test
    void findsTheKeyTakenEvenAfterALostAnswer() {
        LedgerEntry other = entry("other");
        key.put(LedgerCodec.encode(other));
        for (Outcome first : Outcome.values()) {
            LedgerStep end = run(new ClaimProcedure(entry("own"), Long.MAX_VALUE), List.of(first, DONE));
            assertEquals(new LedgerStep.Taken(Optional.of(other)), end, first.name());
        }
    }

    @Test
    void aMalformedEntryIsTakenAndNeverOverwritten() {
        for (String json : List.of("", "{}", "null", "[1]", "{\"claim\":\"a b\"}", "{\"state\":\"DONE\"}")) {
            key.put(json.getBytes(java.nio.charset.StandardCharsets.UTF_8));
            LedgerStep end = run(new ClaimProcedure(entry("own"), Long.MAX_VALUE), List.of(DONE));
            assertEquals(new LedgerStep.Taken(Optional.empty()), end, json);
        }
    }

    @Test
    void startsNoRetryAfterTheGivenTime() {
        ClaimProcedure procedure = new ClaimProcedure(entry("own"), 100);
        LedgerStep end = key.execute(procedure, procedure.start(), UNAVAILABLE, 90);
        assertEquals(new LedgerStep.Unavailable(false), end);
    }

    static Stream<Arguments> records() {
        return Stream.of(
                Arguments.of(List.of(DONE), true, LedgerEntry.State.DONE),
                Arguments.of(List.of(UNAVAILABLE, DONE), true, LedgerEntry.State.DONE),
                Arguments.of(List.of(APPLIED_UNANSWERED, DONE), true, LedgerEntry.State.DONE),
                Arguments.of(List.of(NOT_APPLIED_UNANSWERED, DONE), true, LedgerEntry.State.DONE),
                Arguments.of(List.of(APPLIED_LATE_UNANSWERED, DONE), true, LedgerEntry.State.DONE),
                Arguments.of(List.of(NOT_APPLIED_UNANSWERED), false, LedgerEntry.State.CLAIMED),
                Arguments.of(List.of(UNAVAILABLE), false, LedgerEntry.State.CLAIMED),
                Arguments.of(List.of(APPLIED_UNANSWERED), false, LedgerEntry.State.DONE));
    }

    @ParameterizedTest
    @MethodSource("records")
    void records(List<Outcome> outcomes, boolean done, LedgerEntry.State state) {
        LedgerEntry claimed = entry("own");
        key.put(LedgerCodec.encode(claimed));
        assertEquals(new LedgerStep.Settled(done), run(new RecordProcedure(claimed.done(ANSWER), 1), outcomes));
        assertEquals(state, key.entry().orElseThrow().state());
    }

    @Test
    void recordsNothingOverAnotherClaim() {
        key.put(LedgerCodec.encode(entry("other")));
        LedgerStep end = run(new RecordProcedure(entry("own").done(ANSWER), 1_000), List.of(DONE));
        assertEquals(new LedgerStep.Settled(false), end);
        assertEquals(entry("other"), key.entry().orElseThrow());
    }

    static Stream<Arguments> releases() {
        return Stream.of(
                Arguments.of("own", false, List.of(DONE), true, true),
                Arguments.of("own", false, List.of(UNAVAILABLE, DONE), true, true),
                Arguments.of("own", false, List.of(DONE, APPLIED_UNANSWERED, DONE), true, true),
                Arguments.of("own", false, List.of(DONE, NOT_APPLIED_UNANSWERED, DONE), true, true),
                Arguments.of("own", true, List.of(DONE), true, true),
                Arguments.of("own", false, List.of(UNAVAILABLE), false, false),
                Arguments.of("other", true, List.of(DONE), true, false));
    }

    @ParameterizedTest
    @MethodSource("releases")
    void releases(String holder, boolean claimMayAppear, List<Outcome> outcomes, boolean done, boolean removed) {
        key.put(LedgerCodec.encode(entry(holder)));
        LedgerStep end = run(new ReleaseProcedure(new ClaimId("own"), claimMayAppear), outcomes);
        assertEquals(new LedgerStep.Settled(done), end);
        assertEquals(removed, key.entry().isEmpty());
    }

    @Test
    void releaseRemovesAClaimThatIsAppliedLate() {
        ClaimProcedure claim = new ClaimProcedure(entry("own"), 0);
        LedgerStep end = key.execute(claim, claim.start(), APPLIED_LATE_UNANSWERED, 0);
        assertEquals(new LedgerStep.Unavailable(true), end);
        ReleaseProcedure release = new ReleaseProcedure(new ClaimId("own"), true);
        LedgerStep step = key.execute(release, release.start(), DONE, 0);
        key.applyNextLate();
        assertTrue(key.entry().isPresent());
        step = key.execute(release, step, DONE, 0);
        assertEquals(new LedgerStep.Settled(true), key.execute(release, step, DONE, 0));
        assertTrue(key.entry().isEmpty());
    }

    @Test
    void releaseLeavesARecordedAnswer() {
        key.put(LedgerCodec.encode(entry("own").done(ANSWER)));
        run(new ReleaseProcedure(new ClaimId("own"), false), List.of(DONE));
        assertEquals(LedgerEntry.State.DONE, key.entry().orElseThrow().state());
    }
}
