package org.endivehold.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletionException;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.UpstreamName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfiguredCapacityTest {
    private static final UpstreamName E1 = new UpstreamName("e1");
    private static final UpstreamName E2 = new UpstreamName("e2");

    @ParameterizedTest
    @CsvSource({"8, 1, 8", "8, 3, 2", "8, 8, 1", "8, 400, 1", "8, 0, 8"})
    void equalShareDividesSlotsButGivesAtLeastOne(int slots, int daemons, int expected) {
        ConfiguredCapacity capacity = new EqualShareCapacity(() -> daemons);
        capacity.activated(CapacitySamples.snapshot(CapacitySamples.upstream("e1", slots, 1)));
        assertEquals(expected, capacity.shares(0).get(0).freeSlots());
        for (int i = 0; i < expected; i++) {
            assertTrue(capacity.acquire(E1, 1, 0).isPresent());
        }
        assertFalse(capacity.acquire(E1, 1, 0).isPresent());
    }

    @Test
    void releaseIsIdempotent() {
        ConfiguredCapacity capacity = new EqualShareCapacity(() -> 1);
        capacity.activated(CapacitySamples.snapshot(CapacitySamples.upstream("e1", 2, 1)));
        Permit permit = capacity.acquire(E1, 10, 0).orElseThrow();
        assertTrue(capacity.acquire(E1, 10, 0).isPresent());
        capacity.release(permit, 0);
        capacity.release(permit, 0);
        assertEquals(1, capacity.shares(0).get(0).usedSlots());
    }

    @ParameterizedTest
    @CsvSource({"SERVING, IN, 1", "LEAVING, IN, 0", "SERVING, OUT, 0"})
    void onlyServingUpstreamsInZonesInServiceTakeWork(Upstream.State state, AvailabilityZone.State zone, int expected) {
        ConfiguredCapacity capacity = new UnlimitedCapacity();
        capacity.activated(CapacitySamples.snapshot(zone, CapacitySamples.upstream("e1", 8, 1, state)));
        assertEquals(expected, capacity.shares(0).size());
        assertEquals(expected == 1, capacity.acquire(E1, 1, 0).isPresent());
    }

    @Test
    void reservationsAreAllOrNothing() {
        ConfiguredCapacity capacity = new EqualShareCapacity(() -> 1);
        capacity.activated(
                CapacitySamples.snapshot(CapacitySamples.upstream("e1", 2, 1), CapacitySamples.upstream("e2", 2, 1)));
        long whole = 2 * CapacitySamples.MEMORY_TOKENS;
        List<UpstreamName> both = List.of(E1, E2);
        assertRefused(capacity, new ReservationRequest(both, whole + 1, whole, true, 1));
        assertRefused(capacity, new ReservationRequest(both, whole, whole, false, 1));
        ReservationRequest fits = new ReservationRequest(both, whole, whole, true, 1);
        assertEquals(2, capacity.reserve(fits, 0).toCompletableFuture().join().size());
        assertFalse(capacity.acquire(E1, 1, 0).isPresent());
    }

    @Test
    void unlimitedCapacitySplitsReservationsAtTheMemoryOfEachEngine() {
        ConfiguredCapacity capacity = new UnlimitedCapacity();
        capacity.activated(
                CapacitySamples.snapshot(CapacitySamples.upstream("e1", 2, 1), CapacitySamples.upstream("e2", 2, 1)));
        long more = CapacitySamples.MEMORY_TOKENS + 1;
        ReservationRequest request = new ReservationRequest(List.of(E1, E2), more, more, true, 1);
        List<Permit> permits =
                capacity.reserve(request, 0).toCompletableFuture().join();
        assertEquals(List.of(E1, E2), permits.stream().map(Permit::upstream).toList());
        assertEquals(1, permits.get(1).memoryTokens());
    }

    private static void assertRefused(ConfiguredCapacity capacity, ReservationRequest request) {
        CompletionException e = assertThrows(
                CompletionException.class,
                () -> capacity.reserve(request, 0).toCompletableFuture().join());
        assertEquals(
                ErrorType.RESERVATION_REFUSED, EndiveholdException.unwrap(e).type());
        assertEquals(0, capacity.shares(0).get(0).usedSlots());
    }
}
