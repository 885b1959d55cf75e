package org.endivehold.ledger;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.upstream.PlainAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class DuplicateCallHandlerTest {
    private static final LedgerEntry CLAIMED = new LedgerEntry(
            new ClaimId("claim"),
            "digest",
            new HostId("entry-1"),
            new Incarnation(5),
            1_000,
            LedgerEntry.State.CLAIMED,
            Optional.empty());
    private static final PlainAnswer LARGE = new PlainAnswer(201, Map.of("A", "b"), new byte[100]);

    static Stream<Arguments> failures() {
        LedgerEntry done = CLAIMED.done(RecordedAnswer.of(LARGE, 1_000));
        LedgerEntry tooLarge = CLAIMED.done(RecordedAnswer.of(LARGE, 99));
        return Stream.of(
                Arguments.of(CLAIMED, "digest", "entry-2", 9, 1_000, ErrorType.LEDGER_IN_PROGRESS, RunOutcome.UNKNOWN),
                Arguments.of(CLAIMED, "digest", "entry-1", 5, 1_000, ErrorType.LEDGER_IN_PROGRESS, RunOutcome.UNKNOWN),
                Arguments.of(
                        CLAIMED, "digest", "entry-2", 9, 1_001, ErrorType.LEDGER_OUTCOME_UNKNOWN, RunOutcome.UNKNOWN),
                Arguments.of(CLAIMED, "digest", "entry-1", 6, 0, ErrorType.LEDGER_OUTCOME_UNKNOWN, RunOutcome.UNKNOWN),
                Arguments.of(
                        CLAIMED.unknown(),
                        "digest",
                        "entry-2",
                        9,
                        0,
                        ErrorType.LEDGER_OUTCOME_UNKNOWN,
                        RunOutcome.UNKNOWN),
                Arguments.of(CLAIMED, "another", "entry-2", 9, 0, ErrorType.LEDGER_KEY_REUSED, RunOutcome.NO),
                Arguments.of(done, "another", "entry-2", 9, 0, ErrorType.LEDGER_KEY_REUSED, RunOutcome.NO),
                Arguments.of(
                        tooLarge, "digest", "entry-2", 9, 0, ErrorType.LEDGER_ANSWER_NOT_KEPT, RunOutcome.PARTIAL));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void fails(LedgerEntry first, String digest, String host, long process, long wall, ErrorType type, RunOutcome run) {
        DuplicateCallHandler second = new DuplicateCallHandler(new HostId(host), new Incarnation(process));
        EndiveholdException failure = assertThrows(EndiveholdException.class, () -> second.answer(first, digest, wall));
        assertEquals(type, failure.type());
        assertEquals(run, failure.run());
    }

    @Test
    void repeatsARecordedAnswerThroughTheStore() throws EndiveholdException {
        FakeKey key = new FakeKey();
        key.put(LedgerCodec.encode(CLAIMED.done(RecordedAnswer.of(LARGE, 1_000))));
        DuplicateCallHandler second = new DuplicateCallHandler(new HostId("entry-2"), new Incarnation(1));
        PlainAnswer answer = second.answer(key.entry().orElseThrow(), "digest", Long.MAX_VALUE);
        assertEquals(201, answer.status());
        assertEquals(Map.of("A", "b"), answer.headers());
        assertArrayEquals(new byte[100], answer.body());
    }
}
