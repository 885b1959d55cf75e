package org.endivehold.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.endivehold.config.RequestClass;
import org.endivehold.misc.CustomerName;

class AdmissionQueueProperties {
    private static final CustomerLimits LIMITS = new CustomerLimits(5, 10);

    /** In any sequence of calls, each request leaves the queue exactly once and the queue keeps its maximum size. */
    @Property(seed = "201")
    void everyEntryEndsOnce(@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 999) Integer> steps) {
        AdmissionQueue<Long> queue = new AdmissionQueue<>(20);
        Set<Long> waiting = new HashSet<>();
        Map<Long, AdmissionEntry<Long>> taken = new HashMap<>();
        long now = 0;
        long number = 0;
        for (int step : steps) {
            now += step % 7;
            if (step % 3 < 2) {
                AdmissionEntry<Long> entry = entry(++number, step, now);
                waiting.add(number);
                queue.offer(entry, LIMITS, now).ifPresent(r -> assertTrue(waiting.remove(r.item())));
            } else {
                Optional<AdmissionEntry<Long>> next = queue.take(e -> step % 5 > 0, now);
                next.ifPresent(e -> taken.put(e.item(), e));
                next.ifPresent(e -> assertTrue(waiting.remove(e.item())));
            }
            queue.expire(now).forEach(r -> assertTrue(waiting.remove(r.item())));
            assertEquals(waiting.size(), queue.size());
            assertTrue(queue.size() <= 20);
            if (step % 11 == 0 && !taken.isEmpty()) {
                AdmissionEntry<Long> ended =
                        taken.remove(taken.keySet().iterator().next());
                queue.ended(ended.customer());
            }
        }
    }

    private static AdmissionEntry<Long> entry(long number, int step, long now) {
        RequestClass requestClass = step % 2 == 0 ? RequestClass.INTERACTIVE : RequestClass.DEFERRABLE;
        CustomerName customer = new CustomerName("c" + step % 4);
        return new AdmissionEntry<>(number, number, customer, requestClass, 1 + step, 1 + step % 3, now + step % 50);
    }

    /**
     * Two customers that always have requests waiting get tokens in proportion to their weights, within one request
     * each.
     */
    @Property(seed = "202")
    void servedTokensFollowWeights(
            @ForAll @IntRange(min = 1, max = 9) int weight,
            @ForAll @Size(value = 60) List<@IntRange(min = 1, max = 100) Integer> costs) {
        AdmissionQueue<Long> queue = new AdmissionQueue<>(1_000);
        CustomerLimits wide = new CustomerLimits(1_000, 1_000);
        long number = 0;
        for (int cost : costs) {
            for (String name : List.of("a", "b")) {
                int share = name.equals("a") ? weight : 1;
                AdmissionEntry<Long> entry = new AdmissionEntry<>(
                        ++number, number, new CustomerName(name), RequestClass.INTERACTIVE, cost, share, 1_000);
                assertEquals(Optional.empty(), queue.offer(entry, wide, 0));
            }
        }
        Map<String, Long> served = new HashMap<>(Map.of("a", 0L, "b", 0L));
        for (int i = 0; i < costs.size(); i++) {
            AdmissionEntry<Long> next = queue.take(e -> true, 0).orElseThrow();
            served.merge(next.customer().value(), next.costTokens(), Long::sum);
            double lead = (double) served.get("a") / weight - served.get("b");
            assertTrue(Math.abs(lead) <= 100 + 100.0 / weight, "lead " + lead);
        }
    }
}
