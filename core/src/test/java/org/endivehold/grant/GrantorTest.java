package org.endivehold.grant;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.endivehold.config.Upstream;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.StreamOwner;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GrantorTest {
    private static final GrantTimings TIMINGS = new GrantTimings(4_000, 1_000, 1_000, 500);
    private static final Epoch FIRST = Epoch.ZERO.next();
    private static final UpstreamName E1 = new UpstreamName("e1");
    private static final UpstreamName E2 = new UpstreamName("e2");
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");

    private final Grantor grantor = new Grantor(0, FIRST, true, TIMINGS, 0);
    private final GrantHolder a = holder(A, 1);
    private final GrantHolder b = holder(B, 1);
    private long now;

    @BeforeEach
    void warmUp() {
        List<Upstream> upstreams = List.of(GrantSamples.upstream("e1", 8, 2), GrantSamples.upstream("e2", 8, 2));
        grantor.configure(upstreams, Set.of(E1, E2));
        grantor.lease(Long.MAX_VALUE);
        grantor.list(List.of(A, B), 0);
        for (int i = 0; i < 10; i++) {
            report(List.of());
        }
    }

    @Test
    void sharesFollowDemandAndSpareCapacityIsSpread() {
        renew(a);
        renew(b);
        a.demand(E1, new Amount(6, 0));
        for (int i = 0; i < 3; i++) {
            renew(a);
            renew(b);
        }
        assertEquals(7, a.usable(E1, now).slots());
        assertEquals(1, b.usable(E1, now).slots());
        assertEquals(4, a.usable(E2, now).slots());
    }

    @Test
    void aRestartIsPushedAndTheUpstreamIsColdUntilItShowsOtherwise() {
        renew(a);
        renew(b);
        grantor.report(E1, load(2, List.of()), now);
        for (Grantor.Addressed push : grantor.rebalance(now)) {
            (push.holder().host().equals(A) ? a : b).change(push.grant());
        }
        assertTrue(a.usable(E1, now).slots() + b.usable(E1, now).slots() <= 2);
        renew(a);
        renew(b);
        assertEquals(2, a.usable(E1, now).slots() + b.usable(E1, now).slots());
    }

    @Test
    void aReservationTakesEverythingOrNothing() {
        renew(a);
        long whole = GrantSamples.MEMORY_TOKENS;
        ReservationRequest both = new ReservationRequest(List.of(E1, E2), 2 * whole, 2 * whole, true, 1_000);
        ReservationRequest tooMuch = new ReservationRequest(List.of(E1), whole + 1, whole, false, 1_000);
        assertEquals(List.of(), reserve(tooMuch));
        assertEquals(List.of(), reserve(both));
        renew(a);
        renew(a);
        List<Reservation> made = reserve(both);
        assertEquals(
                2 * whole, made.stream().mapToLong(Reservation::memoryTokens).sum());
        assertEquals(0, a.usable(E1, now).memoryTokens());
        made.forEach(a::close);
        renew(a);
        renew(a);
        assertEquals(whole, a.usable(E1, now).memoryTokens());
    }

    @ParameterizedTest
    @CsvSource({
        "a, 1, false, false, 0",
        "a, 0, false, false, 1",
        "a, 0, true, false, 0",
        "a, 1, false, true, 1",
        "gone, 1, false, false, 1",
    })
    void orphansAreFreedAfterAGrace(String host, long incarnation, boolean adopted, boolean ended, int expected) {
        StreamId stream = new StreamId("s1");
        if (adopted || ended) {
            b.streams(E1).start(stream);
        }
        if (ended) {
            b.streams(E1).end(stream, 0);
        }
        renew(a);
        renew(b);
        StreamOwner owner = new StreamOwner(new HostId(host), new Incarnation(incarnation));
        report(List.of(new EngineLoad.RunningStream(stream, owner, 5)));
        assertEquals(List.of(), grantor.orphans(now));
        List<Grantor.AddressedOrder> orders = grantor.orphans(now + TIMINGS.expiryMillis());
        assertEquals(List.of(), orders);
        assertEquals(
                expected,
                grantor.orphans(now + TIMINGS.expiryMillis() + OrphanFinder.GRACE_MILLIS)
                        .size());
    }

    @ParameterizedTest
    @CsvSource({
        "true, false, 0, true",
        "false, false, 0, false",
        "false, true, 499, false",
        "false, true, 500, true",
        "false, false, 500, true",
        "false, false, 9500, false",
        "false, true, 99999, true",
    })
    void ordersWithoutFencingKeepAMargin(boolean checks, boolean frees, long at, boolean open) {
        assertEquals(open, new OrderGate(0, 500).isOpen(checks, frees, 10_000, at));
    }

    @Test
    void divisionIsMaxMinFair() {
        long[][] cases = {
            {10, 1, 4, 9, 1, 4, 5},
            {12, 5, 5, 5, 4, 4, 4},
            {12, 0, 0, 0, 4, 4, 4},
            {9, 3, 0, 0, 5, 2, 2},
        };
        for (long[] c : cases) {
            long[] wants = {c[1], c[2], c[3]};
            assertArrayEquals(new long[] {c[4], c[5], c[6]}, FairShares.divide(c[0], wants, 0));
        }
    }

    @Test
    void aTakeoverWaitsForThePredecessorOrAGrantsTime() {
        Takeover takeover = new Takeover(new Epoch(3), false, TIMINGS, 0);
        takeover.list(List.of(A, B), 1);
        takeover.answered(process(A, 1), 2);
        assertTrue(!takeover.isComplete(10_000), "b has not answered");
        takeover.answered(process(B, 1), 3);
        assertTrue(!takeover.isComplete(100), "a grant's time has not passed");
        takeover.predecessor(new GrantorStatement(new Epoch(2), true, List.of(new HostId("unlisted")), List.of()));
        takeover.list(List.of(A, B), 200);
        assertTrue(!takeover.isComplete(300), "the named daemon has not answered");
        assertTrue(takeover.isComplete(200 + TIMINGS.expiryMillis()));
    }

    @Test
    void aTakeoverWaitsForTheProcessThatThePredecessorServed() {
        Takeover takeover = new Takeover(new Epoch(3), false, TIMINGS, 0);
        takeover.list(List.of(A, B), 1);
        takeover.answered(process(A, 1), 2);
        takeover.answered(process(B, 1), 3);
        takeover.predecessor(new GrantorStatement(new Epoch(2), true, List.of(B), List.of(process(B, 2))));
        assertTrue(!takeover.isComplete(4), "the restarted process has not answered");
        assertEquals(List.of(B), takeover.unanswered());
        takeover.answered(process(B, 2), 5);
        assertTrue(takeover.isComplete(6));
    }

    @Test
    void aGrantsTimeCountsFromTheLastAnswer() {
        Takeover takeover = new Takeover(new Epoch(3), false, TIMINGS, 0);
        takeover.list(List.of(A, B), 1);
        takeover.answered(process(A, 1), 2);
        long late = TIMINGS.expiryMillis();
        takeover.answered(process(B, 2), late);
        assertTrue(!takeover.isComplete(late + 1), "b's earlier process may have renewed until it ended");
        assertTrue(takeover.isComplete(late + TIMINGS.expiryMillis()));
    }

    @Test
    void aTakeoverWaitsForAnUnlistedPredecessor() {
        Grantor grantor = new Grantor(0, new Epoch(2), false, TIMINGS, 0);
        grantor.after(B);
        grantor.list(List.of(A), 1);
        assertEquals(List.of(A, B), grantor.ask(List.of()));
    }

    @Test
    void aReportDrainsWithTime() {
        long[][] cases = {
            {8_000, 0, 20_000, 8_000},
            {8_000, 300, 20_000, 2_000},
            {8_000, 400, 20_000, 0},
            {8_000, 5_000, 20_000, 0},
            {0, 300, 20_000, 0},
        };
        for (long[] c : cases) {
            Share share = new Share(E1, 1, 1, 0, c[0], c[1]);
            assertEquals(c[3], share.expectedPrefillTokens((double) c[2]));
        }
    }

    private static StreamOwner process(HostId host, long incarnation) {
        return new StreamOwner(host, new Incarnation(incarnation));
    }

    private static GrantHolder holder(HostId host, long incarnation) {
        GrantHolder holder =
                new GrantHolder(new StreamOwner(host, new Incarnation(incarnation)), new GrantGroups(1), 1_000_000);
        holder.want(List.of(E1, E2));
        holder.fence(0, FIRST);
        return holder;
    }

    private void renew(GrantHolder holder) {
        now += 100;
        GroupStatement statement = holder.state(0, now);
        assertTrue(grantor.state(statement, now));
        grantor.renew(statement, now).forEach(grant -> holder.accept(grant, now));
    }

    private List<Reservation> reserve(ReservationRequest request) {
        long number = a.reservationStarted();
        List<Reservation> made = grantor.reserve(new StreamOwner(A, new Incarnation(1)), number, request, now);
        List<Reservation> held = a.reservationEnded(number, made);
        long sum = held.stream().mapToLong(Reservation::memoryTokens).sum();
        if (sum < request.memoryTokens()) {
            held.forEach(a::close);
            return List.of();
        }
        return held;
    }

    private void report(List<EngineLoad.RunningStream> streams) {
        now += 100;
        grantor.report(E1, load(1, streams), now);
        grantor.report(E2, load(1, List.of()), now);
    }

    private UpstreamReport load(long boot, List<EngineLoad.RunningStream> streams) {
        EngineLoad load = new EngineLoad(
                new BootNumber(boot),
                false,
                8,
                GrantSamples.MEMORY_TOKENS,
                0,
                0,
                0,
                Set.of(),
                new ArrayList<>(streams),
                List.of(),
                0);
        return UpstreamReport.of(load, now);
    }
}
