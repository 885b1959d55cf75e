package org.endivehold.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.endivehold.misc.HostId;
import org.endivehold.misc.UpstreamName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ColdShareCapacityTest {
    private static final UpstreamName E1 = new UpstreamName("e1");
    private static final int SLOTS = 20;

    private static List<String> hosts(int count) {
        return IntStream.range(0, count).mapToObj(i -> "host-" + i).toList();
    }

    private static ColdShareCapacity capacity(String host, List<String> hosts, int coldSlots) {
        ColdShareCapacity capacity = new ColdShareCapacity(new HostId(host), () -> hosts);
        capacity.activated(CapacitySamples.snapshot(CapacitySamples.upstream("e1", SLOTS, coldSlots)));
        return capacity;
    }

    private static int taken(Capacity capacity, long now) {
        int count = 0;
        while (count < 2 * SLOTS && capacity.acquire(E1, 1, now).isPresent()) {
            count++;
        }
        return count;
    }

    /** Pattern: an engine starts again while all daemons of a fleet have work for it. */
    @ParameterizedTest
    @CsvSource({"1, 4, 4", "3, 4, 3", "4, 4, 4", "8, 4, 4", "60, 4, 4", "400, 17, 17", "6, 0, 0"})
    void allDaemonsTogetherKeepTheColdSlots(int daemons, int coldSlots, int expected) {
        List<String> hosts = hosts(daemons);
        int sum = 0;
        for (String host : hosts) {
            ColdShareCapacity capacity = capacity(host, hosts, coldSlots);
            capacity.suspect(E1, 0);
            sum += taken(capacity, 1);
        }
        assertEquals(expected, sum);
    }

    /** Pattern: daemons join while an engine is cold, and not all have heard of them. */
    @ParameterizedTest
    @CsvSource({"6, 1, 5", "60, 3, 14", "400, 20, 17"})
    void daemonsThatNotAllKnowAddNoMoreThanThemselves(int daemons, int unknown, int coldSlots) {
        List<String> all = hosts(daemons);
        List<String> old = all.subList(0, daemons - unknown);
        int sum = 0;
        for (String host : all) {
            ColdShareCapacity capacity = capacity(host, old.contains(host) ? old : all, coldSlots);
            capacity.suspect(E1, 0);
            sum += taken(capacity, 1);
        }
        assertTrue(sum <= coldSlots + unknown, "slots in use: " + sum);
    }

    @Test
    void aWarmEngineLimitsItself() {
        ColdShareCapacity capacity = capacity("host-0", hosts(8), 4);
        assertEquals(2 * SLOTS, taken(capacity, 0));
    }

    @Test
    void anEngineIsWarmAgainAfterAWhile() {
        ColdShareCapacity capacity = capacity("host-0", new ArrayList<>(hosts(1)), 4);
        capacity.suspect(E1, 100);
        assertEquals(4, capacity.shares(101).get(0).freeSlots());
        assertTrue(capacity.shares(100 + ColdShareCapacity.COLD_MILLIS).get(0).freeSlots() > SLOTS);
    }
}
