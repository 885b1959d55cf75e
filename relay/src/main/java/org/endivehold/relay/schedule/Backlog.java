package org.endivehold.relay.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.share.EngineCost;
import org.endivehold.relay.share.RankedShares;

/**
 * The requests that wait for engines, and the order in which they are tried.
 *
 * <p>Requests of a service are tried in the {@link TurnOrder}: the most urgent first, with a minimum for lower ranks,
 * then those of the customer that has taken least of the engines, then by weight per prefill time. A turn searches
 * engines for a few of them only. Prompts of similar length form a group, and each group gets searches in every turn:
 * requests that fit nowhere do not hide those of other groups. A request for which no search was made in a turn is
 * refused only if a search of its group found no engines in that turn.
 *
 * <p>Example: a hundred short prompts wait for a slot, since all engines that have memory for them are full, and a long
 * one waits. Of the 8 searches of a turn the short prompts get 7 and the long one gets 1. It is placed as soon as
 * engines suit it, although it comes last in order.
 */
public final class Backlog {
    /** Maximum number of requests for which engines are searched in one turn, to keep the event loop responsive. */
    private static final int MAX_SEARCHES = 8;

    /** Part of the capacity by which requests may exceed it until the next turn. */
    private static final int OVERFLOW_DIVISOR = 4;

    private final int capacity;
    private final Map<JobId, WaitingRequest> waiting = new LinkedHashMap<>();
    private final Map<String, RankedShares> shares = new HashMap<>();
    private final Map<PromptGroup, Integer> classedByGroup = new HashMap<>();
    private final Map<String, WaitingRequest> firstUnplaced = new HashMap<>();
    private int turns;

    /** Decides on the requests that a turn considers. */
    public interface Decisions {
        /** Searches engines for a request and sends it there; returns whether it was placed. */
        boolean tryPlace(WaitingRequest entry);

        /** Returns whether room may be kept for a request that was not placed. */
        default boolean mayClaimRoom(WaitingRequest entry) {
            return true;
        }

        /** Returns whether it is of no use that a request waits any longer. */
        boolean shouldRefuse(WaitingRequest entry);

        /** Refuses a request, which has been removed. */
        void refuse(WaitingRequest entry, WaitReason reason);
    }

    /**
     * Creates an empty backlog.
     *
     * @param capacity maximum number of waiting requests
     */
    public Backlog(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds a request; returns false if the backlog is full. While it is full, a request of a class other than the
     * default is still added, and the next turn refuses the last ones in order instead of those that came last.
     */
    public boolean add(WaitingRequest entry) {
        int limit = entry.isClassed() ? capacity + capacity / OVERFLOW_DIVISOR : capacity;
        if (waiting.size() >= limit) {
            return false;
        }
        waiting.put(entry.id(), entry);
        shares(entry).arrived(entry.traffic(), entry.submittedAt());
        if (entry.isClassed()) {
            classedByGroup.merge(PromptGroup.of(entry), 1, Integer::sum);
        }
        return true;
    }

    /** Removes a request; returns whether it was waiting. */
    public boolean remove(JobId id) {
        WaitingRequest entry = waiting.remove(id);
        if (entry == null) {
            return false;
        }
        shares(entry).left(entry.traffic());
        if (entry.isClassed()) {
            classedByGroup.computeIfPresent(PromptGroup.of(entry), (group, count) -> count > 1 ? count - 1 : null);
        }
        firstUnplaced.remove(entry.request().service(), entry);
        return true;
    }

    /** Counts a request that was sent to the engines of a service in the share of its customer. */
    void charge(String service, TrafficClass traffic, EngineCost cost, double now) {
        shares(service).charge(traffic, cost, now);
    }

    private RankedShares shares(WaitingRequest entry) {
        return shares(entry.request().service());
    }

    private RankedShares shares(String service) {
        return shares.computeIfAbsent(service, name -> new RankedShares());
    }

    /** Returns the ids of the waiting requests that one run of a daemon submitted. */
    List<JobId> submittedBy(String daemon) {
        return waiting.keySet().stream()
                .filter(id -> id.daemon().equals(daemon))
                .toList();
    }

    boolean contains(JobId id) {
        return waiting.containsKey(id);
    }

    /** Returns a waiting request; null if it is not waiting. */
    WaitingRequest waiting(JobId id) {
        return waiting.get(id);
    }

    /**
     * Returns how much engine time waiting requests are expected to take before a further request of a class is placed,
     * in milliseconds of one engine: what its own customer waits for, as often as customers share, or all if that is
     * less. Requests of lower ranks do not count.
     */
    double workAheadMillis(WaitingRequest entry) {
        int rank = RankedShares.rank(entry.traffic());
        Set<String> customers = new HashSet<>();
        double own = 0;
        double all = 0;
        for (WaitingRequest other : waiting.values()) {
            if (other.request().service().equals(entry.request().service())
                    && RankedShares.rank(other.traffic()) >= rank) {
                double cost = other.cost().engineMillis();
                customers.add(other.traffic().customer());
                all += cost;
                own += other.traffic().customer().equals(entry.traffic().customer()) ? cost : 0;
            }
        }
        return Math.min(all, (own + entry.cost().engineMillis()) * customers.size());
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return waiting.size();
    }

    /**
     * Returns whether requests of a class other than the default wait in the group of a request, so that it has to wait
     * for its turn: placed at once, it would pass over them.
     */
    public boolean mustQueue(WaitingRequest entry) {
        return entry.isClassed() && classedByGroup.containsKey(PromptGroup.of(entry));
    }

    /** Returns the services that have waiting requests. */
    Set<String> services() {
        Set<String> services = new LinkedHashSet<>();
        waiting.values().forEach(entry -> services.add(entry.request().service()));
        return services;
    }

    /**
     * Returns the first request of a service, in the order of the last turn, that may claim room and for which that
     * turn searched engines without success; empty if there is none or it is not waiting any more.
     */
    public Optional<WaitingRequest> firstUnplaced(String service) {
        return Optional.ofNullable(firstUnplaced.get(service));
    }

    /** Searches engines for one request, ahead of the turn of all; has no effect if it is not waiting. */
    void tryFirst(JobId id, Decisions decisions) {
        WaitingRequest entry = waiting.get(id);
        if (entry != null && decisions.tryPlace(entry)) {
            remove(id);
            shares(entry).placedAfterWaiting(entry.traffic());
        }
    }

    /**
     * Searches engines for the first requests in order and refuses those for which waiting is of no use. Requests may
     * be added and removed meanwhile; those added are considered in the next turn.
     *
     * @return whether another turn may place more requests at once: all searches of a group found engines, and requests
     *     of it with a class other than the default still wait
     */
    public boolean runTurn(Decisions decisions) {
        firstUnplaced.clear();
        Map<String, List<WaitingRequest>> byService = new LinkedHashMap<>();
        Map<PromptGroup, Integer> groupSizes = new LinkedHashMap<>();
        for (WaitingRequest entry : waiting.values()) {
            byService
                    .computeIfAbsent(entry.request().service(), name -> new ArrayList<>())
                    .add(entry);
            groupSizes.merge(PromptGroup.of(entry), 1, Integer::sum);
        }
        SearchBudget budget = new SearchBudget(MAX_SEARCHES, groupSizes, turns++);
        byService.forEach((service, entries) -> search(new TurnOrder(entries, shares(service)), budget, decisions));
        byService.values().forEach(entries -> refuse(entries, budget, decisions));
        while (waiting.size() > capacity) {
            refuseLast(decisions);
        }
        return classedByGroup.keySet().stream().anyMatch(budget::mayHaveMoreRoom);
    }

    /** Refuses as many requests as the backlog has too many, the last in order of the service that has most. */
    private void refuseLast(Decisions decisions) {
        Map<String, List<WaitingRequest>> byService = waiting.values().stream()
                .collect(Collectors.groupingBy(entry -> entry.request().service()));
        List<WaitingRequest> most = Collections.max(byService.values(), Comparator.comparingInt(List::size));
        String service = most.get(0).request().service();
        TurnOrder order = new TurnOrder(most, shares(service));
        for (int excess = waiting.size() - capacity; excess > 0; excess--) {
            order.removeLast()
                    .filter(entry -> remove(entry.id()))
                    .ifPresent(entry -> decisions.refuse(entry, WaitReason.QUEUE_FULL));
        }
    }

    /** Searches engines for the requests of a service, as many as the budget allows. */
    private void search(TurnOrder order, SearchBudget budget, Decisions decisions) {
        Optional<WaitingRequest> next = nextSearch(order, budget);
        while (next.isPresent()) {
            WaitingRequest entry = next.get();
            PromptGroup group = PromptGroup.of(entry);
            budget.take(group);
            boolean placed = decisions.tryPlace(entry);
            budget.searched(group, placed);
            if (placed) {
                remove(entry.id());
                shares(entry).placedAfterWaiting(entry.traffic());
            } else if (decisions.mayClaimRoom(entry)) {
                firstUnplaced.putIfAbsent(entry.request().service(), entry);
            }
            next = nextSearch(order, budget);
        }
    }

    private Optional<WaitingRequest> nextSearch(TurnOrder order, SearchBudget budget) {
        return order.next(entry -> contains(entry.id()) && budget.has(PromptGroup.of(entry)));
    }

    private void refuse(List<WaitingRequest> entries, SearchBudget budget, Decisions decisions) {
        for (WaitingRequest entry : entries) {
            if (budget.hasFailed(PromptGroup.of(entry))
                    && contains(entry.id())
                    && decisions.shouldRefuse(entry)
                    && remove(entry.id())) {
                decisions.refuse(entry, WaitReason.LATE);
            }
        }
    }
}
