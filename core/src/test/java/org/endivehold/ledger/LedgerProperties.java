package org.endivehold.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;

/** Calls with the same key, in random orders of steps, lost answers and daemon crashes: at most one of them runs. */
class LedgerProperties {
    private static final List<FakeKey.Outcome> OUTCOMES = List.of(FakeKey.Outcome.values());

    /** Stage of a call in its daemon. */
    private enum Phase {
        CLAIMING,
        HOLDING,
        SENT,
        FINISHING,
        ENDED
    }

    private static final class Call {
        private final LedgerEntry entry;
        private LedgerProcedure procedure;
        private LedgerStep step;
        private Phase phase = Phase.CLAIMING;
        private long revision;
        private boolean ran;
        private boolean refused;
        private Optional<RecordedAnswer> replayed = Optional.empty();

        Call(int number) {
            entry = new LedgerEntry(
                    new ClaimId("claim-" + number),
                    "digest",
                    new HostId("host-" + number),
                    new Incarnation(1),
                    1_000,
                    LedgerEntry.State.CLAIMED,
                    Optional.empty());
            begin(new ClaimProcedure(entry, Long.MAX_VALUE));
        }

        private void begin(LedgerProcedure next) {
            procedure = next;
            step = next.start();
        }

        RecordedAnswer answer() {
            return new RecordedAnswer(200, java.util.Map.of("By", entry.claim().value()), new byte[] {1}, true);
        }

        /** Makes one step; the choice selects faults of the key-value service and what the upstream does. */
        void advance(FakeKey key, int choice) {
            switch (phase) {
                case CLAIMING, FINISHING -> {
                    step = key.execute(procedure, step, OUTCOMES.get(choice % OUTCOMES.size()), 0);
                    afterStep();
                }
                case HOLDING -> afterClaim(choice);
                case SENT -> afterSend(choice);
                default -> {}
            }
        }

        private void afterStep() {
            if (step instanceof LedgerStep.Held held) {
                revision = held.revision();
                phase = Phase.HOLDING;
            } else if (step instanceof LedgerStep.Taken taken) {
                replayed = taken.entry().flatMap(LedgerEntry::answer);
                phase = Phase.ENDED;
            } else if (step instanceof LedgerStep.Unavailable unavailable) {
                refused = true;
                phase = unavailable.claimMayAppear() ? Phase.FINISHING : Phase.ENDED;
                begin(new ReleaseProcedure(entry.claim(), true));
            } else if (step instanceof LedgerStep.Settled) {
                phase = Phase.ENDED;
            }
        }

        private void afterClaim(int choice) {
            switch (choice % 4) {
                case 0 -> phase = Phase.ENDED;
                case 1 -> {
                    refused = true;
                    phase = Phase.FINISHING;
                    begin(new ReleaseProcedure(entry.claim(), false));
                }
                default -> {
                    ran = true;
                    phase = Phase.SENT;
                }
            }
        }

        private void afterSend(int choice) {
            if (choice % 4 == 0) {
                phase = Phase.ENDED;
                return;
            }
            phase = Phase.FINISHING;
            begin(new RecordProcedure(choice % 4 == 1 ? entry.unknown() : entry.done(answer()), revision));
        }
    }

    @Property(seed = "7001", tries = 4_000)
    void atMostOneCallRuns(@ForAll @Size(max = 150) List<@IntRange(max = 9_999) Integer> choices) {
        FakeKey key = new FakeKey();
        List<Call> calls = new ArrayList<>();
        for (int choice : choices) {
            int callIndex = choice % 10;
            if (callIndex == 0) {
                key.applyNextLate();
            } else if (callIndex >= calls.size()) {
                calls.add(new Call(calls.size()));
            } else {
                calls.get(callIndex).advance(key, choice / 10);
            }
            check(calls);
        }
    }

    private static void check(List<Call> calls) {
        List<Call> ran = calls.stream().filter(call -> call.ran).toList();
        assertTrue(ran.size() <= 1, "calls that ran: " + ran.size());
        for (Call call : calls) {
            assertFalse(call.ran && call.refused, "refused as not run, but it ran");
            call.replayed.ifPresent(answer ->
                    assertEquals(ran.get(0).answer().headers(), answer.headers(), "the answer of another call"));
        }
    }

    @Property(seed = "7002", tries = 500)
    void withoutFaultsEveryCallIsAnsweredByTheFirst(@ForAll @IntRange(min = 1, max = 8) int count) {
        FakeKey key = new FakeKey();
        int done = 0;
        for (int i = 0; i < count; i++) {
            Call call = new Call(i);
            for (int step = 0; step < 4; step++) {
                // A multiple of the number of outcomes selects DONE, no fault; 10 modulo 4 lets the upstream answer.
                call.advance(key, 2 * OUTCOMES.size());
            }
            done += call.ran || call.replayed.isPresent() ? 1 : 0;
        }
        assertEquals(count, done);
    }
}
