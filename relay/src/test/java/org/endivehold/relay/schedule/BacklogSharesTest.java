package org.endivehold.relay.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.share.EngineCost;

/** The order of requests with a class other than the default. */
class BacklogSharesTest {
    private static final int SHORT = 5_000;
    private static final int LONG = 190_000;
    private static final int MAX_SEARCHES = 8;
    private static final int CAPACITY = 40;

    private WaitingRequests requests;
    private Backlog backlog;

    private static TrafficClass traffic(String customer, int routeRank) {
        return new TrafficClass(customer, 0, routeRank);
    }

    private void reset() {
        requests = new WaitingRequests();
        backlog = new Backlog(CAPACITY);
        requests.onPlaced = entry -> backlog.charge(
                WaitingRequests.SERVICE,
                entry.traffic(),
                EngineCost.of(entry.request().need(), entry.profile()),
                0);
    }

    private WaitingRequest add(long tokens, TrafficClass traffic) {
        WaitingRequest entry = requests.request(tokens, traffic);
        assertTrue(backlog.add(entry));
        return entry;
    }

    /** Short prompts of the least urgent route went before long ones of the most urgent one. */
    @Example
    void theMostUrgentRequestIsTriedFirst() {
        reset();
        JobId low = add(SHORT, traffic("a", 0)).id();
        JobId urgent = add(LONG, traffic("a", 2)).id();
        JobId middle = add(SHORT, traffic("a", 1)).id();
        backlog.runTurn(requests);
        assertEquals(List.of(urgent, middle, low), new ArrayList<>(requests.placed));
    }

    /** A customer that sends all its requests at once would keep out those that come after it. */
    @Example
    void customersOfOneRankTakeTurns() {
        reset();
        List<JobId> large = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            large.add(add(SHORT, traffic("large", 1)).id());
        }
        JobId first = add(SHORT, traffic("small", 1)).id();
        JobId second = add(SHORT, traffic("small", 1)).id();
        backlog.runTurn(requests);
        assertEquals(
                List.of(large.get(0), first, large.get(1), second, large.get(2)), new ArrayList<>(requests.placed));
    }

    /** A new request that is placed at once passes over those that wait for the same room. */
    @Example
    void aRequestQueuesBehindThoseOfItsGroup() {
        reset();
        WaitingRequest waiting = add(SHORT, traffic("a", 1));
        assertTrue(backlog.mustQueue(requests.request(SHORT, traffic("b", 1))));
        assertFalse(backlog.mustQueue(requests.request(LONG, traffic("b", 1))));
        assertFalse(backlog.mustQueue(requests.request(SHORT, TrafficClass.DEFAULT)));
        backlog.remove(waiting.id());
        assertFalse(backlog.mustQueue(requests.request(SHORT, traffic("b", 1))));
    }

    /** While a queue is full, a customer that fills it would get every place that comes free. */
    @Example
    void aFullBacklogRefusesTheLastInOrder() {
        reset();
        for (int i = 0; i < CAPACITY; i++) {
            add(SHORT, traffic("large", 1));
        }
        WaitingRequest small = add(SHORT, traffic("small", 1));
        requests.fits = entry -> false;
        backlog.runTurn(requests);
        assertEquals(CAPACITY, backlog.size());
        assertTrue(backlog.contains(small.id()));
        assertEquals(1, requests.refused.size());
    }

    /** Endless requests of one service would fill memory without a bound. */
    @Example
    void theOverflowOfAFullBacklogIsBounded() {
        reset();
        int added = 0;
        while (backlog.add(requests.request(SHORT, traffic("large", 1)))) {
            added++;
        }
        assertEquals(CAPACITY + CAPACITY / 4, added);
        assertFalse(backlog.add(requests.request(SHORT, TrafficClass.DEFAULT)));
    }

    /** Turns that search for fewer requests than they may would leave engines idle while requests wait. */
    @Property(seed = "1", tries = 200)
    void noSearchIsLeftWhileRequestsWait(@ForAll @IntRange(min = 1, max = CAPACITY) int number, @ForAll long seed) {
        reset();
        Random random = new Random(seed);
        for (int i = 0; i < number; i++) {
            long tokens = random.nextBoolean() ? SHORT : 10_000 + random.nextInt(LONG);
            add(tokens, traffic("customer-" + random.nextInt(5), random.nextInt(3)));
        }
        requests.fits = entry -> random.nextInt(3) == 0;
        backlog.runTurn(requests);
        assertEquals(Math.min(MAX_SEARCHES, number), requests.searched.size());
        assertEquals(number - requests.placed.size(), backlog.size());
    }

    /** Endless requests of urgent ranks would keep out lower ones, and a minimum must not turn the order round. */
    @Property(seed = "1", tries = 50)
    void ofTheRequestsThatWaitedOneInEightGoesToLowerRanks(
            @ForAll @IntRange(min = 1, max = 3) int lowRequests, @ForAll long seed) {
        reset();
        Random random = new Random(seed);
        Map<Integer, Integer> placed = new HashMap<>(); // of the urgent rank, only while a request of the low one waits
        Map<Integer, Integer> waiting = new HashMap<>();
        requests.onPlaced = entry -> {
            int rank = entry.traffic().routeRank();
            placed.merge(rank, rank == 0 || waiting.get(0) > 0 ? 1 : 0, Integer::sum);
            waiting.merge(rank, -1, Integer::sum);
        };
        requests.fits = entry -> entry.traffic().routeRank() == 0 || random.nextInt(4) > 0;
        for (int turn = 0; turn < 400; turn++) {
            while (waiting.getOrDefault(1, 0) < 12) {
                waiting.merge(1, 1, Integer::sum);
                add(SHORT, traffic("urgent", 1));
            }
            while (waiting.getOrDefault(0, 0) < lowRequests) {
                waiting.merge(0, 1, Integer::sum);
                add(SHORT, traffic("low", 0));
            }
            backlog.runTurn(requests);
        }
        int sevenths = placed.get(1) / 7;
        assertTrue(placed.get(0) >= sevenths - 1, () -> "placed " + placed);
        assertTrue(placed.get(0) <= sevenths + 1, () -> "placed " + placed);
    }

    /** A long prompt of the first customer in order that fits nowhere must not hide what fits. */
    @Example
    void whatFitsNowhereDoesNotHideTheOthers() {
        reset();
        WaitingRequest large = add(LONG, traffic("first", 2));
        WaitingRequest other = add(SHORT, traffic("second", 0));
        requests.fits = entry -> entry.equals(other);
        backlog.runTurn(requests);
        assertEquals(List.of(other.id()), new ArrayList<>(requests.placed));
        assertEquals(Optional.of(large), backlog.firstUnplaced(WaitingRequests.SERVICE));
    }
}
