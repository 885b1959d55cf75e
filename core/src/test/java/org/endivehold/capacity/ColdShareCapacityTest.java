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

    private static int acquireAll(Capacity capacity, long now) {
        int count = 0;
        while (count < 2 * SLOTS && capacity.acquire(E1, 1, now).isPresent()) {
            count++;
        }
        return count;
    }

    /** An engine restarts while every daemon has requests for it: together they use no more than its cold slots. */
    @ParameterizedTest
    @CsvSource({"1, 4, 4", "3, 4, 3", "4, 4, 4", "8, 4, 4", "60, 4, 4", "400, 17, 17", "6, 0, 0"})
    void allDaemonsTogetherStayWithinTheColdSlots(int daemons, int coldSlots, int expected) {
        List<String> hosts = hosts(daemons);
        int slotsInUse = 0;
        for (String host : hosts) {
            ColdShareCapacity capacity = capacity(host, hosts, coldSlots);
            capacity.suspect(E1, 0);
            slotsInUse += acquireAll(capacity, 1);
        }
        assertEquals(expected, slotsInUse);
    }

    /** Daemons join while an engine is cold, and the older daemons do not know them yet: each adds at most one slot. */
    @ParameterizedTest
    @CsvSource({"6, 1, 5", "60, 3, 14", "400, 20, 17"})
    void eachUnknownDaemonAddsAtMostOneSlot(int daemons, int unknown, int coldSlots) {
        List<String> all = hosts(daemons);
        List<String> known = all.subList(0, daemons - unknown);
        int slotsInUse = 0;
        for (String host : all) {
            ColdShareCapacity capacity = capacity(host, known.contains(host) ? known : all, coldSlots);
            capacity.suspect(E1, 0);
            slotsInUse += acquireAll(capacity, 1);
        }
        assertTrue(slotsInUse <= coldSlots + unknown, "slots in use: " + slotsInUse);
    }

    @Test
    void theUseOfAWarmEngineIsNotLimited() {
        ColdShareCapacity capacity = capacity("host-0", hosts(8), 4);
        assertEquals(2 * SLOTS, acquireAll(capacity, 0));
    }

    @Test
    void anEngineIsWarmAgainAfterTheColdPeriod() {
        ColdShareCapacity capacity = capacity("host-0", new ArrayList<>(hosts(1)), 4);
        capacity.suspect(E1, 100);
        assertEquals(4, capacity.shares(101).get(0).freeSlots());
        assertTrue(capacity.shares(100 + ColdShareCapacity.COLD_MILLIS).get(0).freeSlots() > SLOTS);
    }
}
