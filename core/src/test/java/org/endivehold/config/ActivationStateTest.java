package org.endivehold.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;
import org.junit.jupiter.api.Test;

class ActivationStateTest {
    private static final ActivationTimes TIMES = ActivationTimes.STANDARD;
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");
    private static final Configuration EMPTY = ConfigurationSamples.read("[]");

    private final ActivationState state = new ActivationState(TIMES, 0);

    private static RevisionRecord head(long revision) {
        return new RevisionRecord(new Revision(revision), "d" + revision, "p", 1, Revision.ZERO, "ana", 0);
    }

    private static Optional<ConfigurationSnapshot> load(ActivationState state, FetchTarget target, long revision) {
        return state.fetchCompleted(target, new Revision(revision), "d" + revision, EMPTY, 0);
    }

    private FetchTarget next(long now) {
        return state.nextFetch(now).orElseThrow();
    }

    private void announce(HostId host, long revision, long now) {
        state.neighbourSeen(host, new Revision(revision), "d" + revision, now);
    }

    @Test
    void fetchesTheHeadOnceAndActivatesIt() {
        state.headSeen(Optional.of(head(3)), 0);
        FetchTarget target = next(0);
        assertEquals(Optional.empty(), state.nextFetch(1));
        assertTrue(load(state, target, 3).isPresent());
        assertEquals(Optional.empty(), state.nextFetch(2));
    }

    @Test
    void neverActivatesALowerRevision() {
        state.headSeen(Optional.of(head(5)), 0);
        load(state, next(0), 5);
        state.headSeen(Optional.of(head(4)), 1);
        announce(A, 3, 1);
        assertEquals(Optional.empty(), state.nextFetch(1));
        assertTrue(state.isStoreBehind());
        assertEquals(5, state.current().orElseThrow().revision().value());
    }

    @Test
    void rejectsDigestOtherThanAnnounced() {
        announce(A, 2, 0);
        FetchTarget target = next(0);
        assertTrue(state.fetchCompleted(target, new Revision(2), "forged", EMPTY, 0)
                .isEmpty());
        assertTrue(state.fetchCompleted(target, new Revision(1), "d1", EMPTY, 0).isEmpty());
        assertTrue(state.current().isEmpty());
    }

    @Test
    void fetchesFromNeighboursDuringStoreOutage() {
        announce(A, 7, 0);
        announce(B, 7, 0);
        FetchTarget first = next(0);
        state.fetchFailed(first, 10);
        FetchTarget second = next(10);
        assertFalse(first.neighbour().equals(second.neighbour()));
        state.fetchFailed(second, 20);
        assertEquals(Optional.empty(), state.nextFetch(30));
        assertEquals(7, next(10 + TIMES.retryMillis()).revision().value());
    }

    @Test
    void fetchFromStoreThatTimesOutIsRetriedAtNeighbour() {
        state.headSeen(Optional.of(head(2)), 0);
        announce(A, 2, 0);
        FetchTarget fromStore = next(0);
        assertTrue(fromStore.head().isPresent());
        assertEquals(Optional.empty(), state.nextFetch(TIMES.fetchMillis() - 1));
        assertEquals(Optional.of(A), next(TIMES.fetchMillis()).neighbour());
    }

    @Test
    void prefersTheHigherRevision() {
        state.headSeen(Optional.of(head(2)), 0);
        announce(A, 3, 0);
        assertEquals(Optional.of(A), next(0).neighbour());
    }

    @Test
    void isolatedOnlyWithoutStoreAndWithoutNeighbours() {
        long late = TIMES.isolationMillis() + 1;
        assertFalse(state.isIsolated(late), "a daemon without neighbours stays in service");
        announce(A, 1, 0);
        assertTrue(state.isIsolated(late));
        state.headSeen(Optional.empty(), late);
        assertFalse(state.isIsolated(late), "the store has answered");
        announce(A, 1, 2 * late);
        assertFalse(state.isIsolated(2 * late), "a neighbour has sent a message");
        state.removeNeighbour(A);
        assertFalse(state.isIsolated(9 * late), "no neighbour is left");
    }

    @Test
    void pollsFrequentlyOnlyWithoutContactToNeighbours() {
        announce(A, 1, 0);
        assertFalse(state.startPoll(TIMES.pollWithoutNeighboursMillis() - 1));
        assertTrue(state.startPoll(TIMES.pollWithoutNeighboursMillis()));
        assertFalse(state.startPoll(TIMES.pollWithoutNeighboursMillis() + 1));
        announce(A, 1, TIMES.pollMillis() - 1);
        assertFalse(state.startPoll(TIMES.pollMillis()));
        announce(A, 1, TIMES.pollMillis() + TIMES.pollWithoutNeighboursMillis());
        assertTrue(state.startPoll(TIMES.pollMillis() + TIMES.pollWithoutNeighboursMillis()));
    }

    /**
     * A change, such as taking a zone out of service, has to arrive within 5 s even if the store is down and the first
     * neighbour that is asked does not answer.
     */
    @Test
    void changeArrivesWithinFiveSecondsDuringStoreOutage() {
        announce(A, 1, 0);
        load(state, next(0), 1);
        long announced = 500;
        announce(A, 2, announced);
        announce(B, 2, announced);
        FetchTarget unanswered = next(announced);
        long retried = announced + TIMES.fetchMillis();
        FetchTarget other = next(retried);
        assertFalse(unanswered.neighbour().equals(other.neighbour()));
        assertTrue(load(state, other, 2).isPresent());
        assertTrue(retried + TIMES.fetchMillis() < 5_000, "two fetches that time out stay below 5 s");
    }

    @Property(seed = "4711", tries = 300)
    void revisionInForceNeverDecreases(
            @ForAll @Size(max = 60) int[] steps, @ForAll @IntRange(min = 1, max = 9) int top) {
        ActivationState tested = new ActivationState(TIMES, 0);
        Optional<FetchTarget> target = Optional.empty();
        long last = 0;
        long now = 0;
        for (int step : steps) {
            now += Math.floorMod(step, 700);
            long revision = Math.floorMod(step / 7, top) + 1L;
            switch (Math.floorMod(step, 5)) {
                case 0 -> tested.headSeen(Optional.of(head(revision)), now);
                case 1 -> tested.neighbourSeen(A, new Revision(revision), "d" + revision, now);
                case 2 -> target = tested.nextFetch(now).or(() -> Optional.empty());
                case 3 -> target.ifPresent(o -> load(tested, o, revision));
                default -> tested.neighbourSeen(B, new Revision(revision), "d" + revision, now);
            }
            long inForce = tested.current().map(s -> s.revision().value()).orElse(0L);
            assertTrue(inForce >= last);
            last = inForce;
        }
    }
}
