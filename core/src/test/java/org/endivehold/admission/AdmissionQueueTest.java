package org.endivehold.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivehold.config.RequestClass;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.CustomerName;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private static final CustomerLimits WIDE = new CustomerLimits(100, 100);
    private static final long LATE = 1_000_000;

    private final AdmissionQueue<String> queue = new AdmissionQueue<>(6);
    private long number;

    /** Offers a request whose first letter names its customer; a capital letter makes it interactive. */
    private Optional<Refusal<String>> offer(String item, long cost, long latestStart, CustomerLimits limits) {
        char letter = item.charAt(0);
        RequestClass requestClass = Character.isUpperCase(letter) ? RequestClass.INTERACTIVE : RequestClass.DEFERRABLE;
        CustomerName customer = new CustomerName(String.valueOf(Character.toLowerCase(letter)));
        return queue.offer(
                new AdmissionEntry<>(item, ++number, customer, requestClass, cost, 1, latestStart), limits, 0);
    }

    private void offerAll(String... items) {
        for (String item : items) {
            assertEquals(Optional.empty(), offer(item, 10, LATE, WIDE));
        }
    }

    private List<String> takeAll() {
        List<String> taken = new ArrayList<>();
        Optional<AdmissionEntry<String>> next = queue.take(entry -> true, 0);
        while (next.isPresent()) {
            taken.add(next.get().item());
            next = queue.take(entry -> true, 0);
        }
        return taken;
    }

    @Test
    void aSurgeDoesNotDelayAnotherCustomer() {
        offerAll("A1", "A2", "A3", "A4", "B1");
        assertEquals(List.of("A1", "B1", "A2", "A3", "A4"), takeAll());
    }

    @Test
    void interactiveGoesFirstButDeferrableGoesToo() {
        offerAll("a1", "a2", "B1", "B2");
        List<String> order = takeAll();
        assertEquals(List.of("B1", "a1", "B2", "a2"), order);
    }

    @Test
    void theEarliestLatestStartOfACustomerGoesFirst() {
        offer("A1", 10, 900, WIDE);
        offer("A2", 10, 800, WIDE);
        assertEquals(List.of("A2", "A1"), takeAll());
    }

    @Test
    void anEntryThatCannotStartIsPassedOver() {
        offer("A1", 1_000, LATE, WIDE);
        offer("A2", 10, LATE + 1, WIDE);
        Optional<AdmissionEntry<String>> taken = queue.take(entry -> entry.costTokens() < 100, 0);
        assertEquals("A2", taken.orElseThrow().item());
        assertEquals(1, queue.size());
    }

    @Test
    void aFullQueueRefusesTheNewestOfWhoeverHasMost() {
        offerAll("A1", "A2", "A3", "A4", "B1", "B2");
        Refusal<String> refusal = offer("C1", 10, LATE, WIDE).orElseThrow();
        assertEquals("A4", refusal.item());
        assertEquals(ErrorType.QUEUE_FULL, refusal.failure().type());
        assertTrue(refusal.retryAfterMillis() > 0);
        assertEquals("A5", offer("A5", 10, LATE, WIDE).orElseThrow().item());
    }

    @Test
    void aFullQueueRefusesDeferrableRequestsFirst() {
        offerAll("A1", "A2", "A3", "A4", "A5", "b1");
        assertEquals("b1", offer("A6", 10, LATE, WIDE).orElseThrow().item());
        assertEquals("b2", offer("b2", 10, LATE, WIDE).orElseThrow().item());
    }

    @Test
    void limitsOfACustomerHold() {
        CustomerLimits narrow = new CustomerLimits(1, 2);
        offer("A1", 10, LATE, narrow);
        offer("A2", 10, LATE, narrow);
        Refusal<String> refusal = offer("A3", 10, LATE, narrow).orElseThrow();
        assertEquals(ErrorType.CUSTOMER_LIMIT, refusal.failure().type());
        assertEquals(List.of("A1"), takeAll());
        queue.ended(new CustomerName("a"));
        assertEquals(List.of("A2"), takeAll());
    }

    @Test
    void anEntryThatCanNoLongerBeFinishedIsRefusedAtOnce() {
        offer("A1", 10, 500, WIDE);
        offer("A2", 10, LATE, WIDE);
        assertEquals(List.of(), queue.expire(500));
        List<Refusal<String>> refused = queue.expire(501);
        assertEquals("A1", refused.get(0).item());
        assertEquals(ErrorType.DEADLINE_UNREACHABLE, refused.get(0).failure().type());
        assertEquals(List.of("A2"), takeAll());
    }

    @Test
    void aRequestBehindTooLongABacklogIsRefusedAtArrival() {
        offer("A1", 1_000, LATE, WIDE);
        offer("A2", 1_000, LATE, WIDE);
        offer("A3", 1_000, LATE, WIDE);
        queue.take(entry -> true, 1_000);
        Refusal<String> refusal = offer("A4", 10, LATE + 1, WIDE).isPresent()
                ? null
                : offer("A5", 10, LATE + 2, WIDE).orElse(null);
        assertEquals(null, refusal);
        AdmissionEntry<String> late =
                new AdmissionEntry<>("A6", ++number, new CustomerName("a"), RequestClass.INTERACTIVE, 10, 1, LATE + 3);
        assertEquals(
                ErrorType.DEADLINE_UNREACHABLE,
                queue.offer(late, WIDE, LATE - 100).orElseThrow().failure().type());
    }
}
