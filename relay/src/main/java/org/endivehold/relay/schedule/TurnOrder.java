package org.endivehold.relay.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.share.RankedShares;

/**
 * The waiting requests of one service in the order in which they are tried: by rank, then by customer, then by weight
 * per prefill time.
 *
 * <p>Each request of a customer starts where its previous one ends: at the customer's counter plus the cost of those
 * that are before it. Requests of one rank are ordered by these starts, which is the order that results if they are
 * placed one by one and charged. Example: the counters of A and B are 0 and 100, and all requests cost 60. The starts
 * are 0, 60, 120 for A and 100, 160 for B, so the order is A A B A B.
 *
 * <p>If all requests have the default class there is one rank and one customer, and the order is that by weight per
 * prefill time.
 */
final class TurnOrder {
    private static final Comparator<WaitingRequest> WITHIN_CUSTOMER = Comparator.comparingDouble(
                    WaitingRequest::weightPerPrefillMillis)
            .reversed()
            .thenComparingDouble(entry -> entry.isClassed() ? entry.arrivedAt() : 0);

    private final RankedShares shares;
    private final List<Deque<WaitingRequest>> byRank = new ArrayList<>(RankedShares.RANKS);

    private record Start(WaitingRequest entry, double at) {}

    TurnOrder(List<WaitingRequest> entries, RankedShares shares) {
        this.shares = shares;
        List<WaitingRequest> sorted = new ArrayList<>(entries);
        sorted.sort(WITHIN_CUSTOMER);
        Map<TrafficClass, Double> next = new HashMap<>();
        List<Start> starts = new ArrayList<>(sorted.size());
        for (WaitingRequest entry : sorted) {
            double start = next.computeIfAbsent(entry.traffic(), shares::counter);
            starts.add(new Start(entry, start));
            next.put(entry.traffic(), start + entry.cost().engineMillis());
        }
        starts.sort(Comparator.comparingDouble(Start::at));
        for (int rank = 0; rank < RankedShares.RANKS; rank++) {
            byRank.add(new ArrayDeque<>());
        }
        starts.forEach(
                start -> byRank.get(RankedShares.rank(start.entry().traffic())).add(start.entry()));
    }

    /**
     * Removes and returns the next request, with the minimum for lower ranks. Requests that may not be tried are
     * skipped and removed.
     */
    Optional<WaitingRequest> next(Predicate<WaitingRequest> mayTry) {
        for (Deque<WaitingRequest> entries : byRank) {
            while (!entries.isEmpty() && !mayTry.test(entries.peekFirst())) {
                entries.removeFirst();
            }
        }
        int rank = shares.nextRank(candidate -> !byRank.get(candidate).isEmpty());
        return rank < 0 ? Optional.empty() : Optional.of(byRank.get(rank).removeFirst());
    }

    /** Removes and returns the last request in order; empty if there is none. */
    Optional<WaitingRequest> removeLast() {
        return byRank.stream().filter(entries -> !entries.isEmpty()).findFirst().map(Deque::removeLast);
    }
}
