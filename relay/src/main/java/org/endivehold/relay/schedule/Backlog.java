package org.endivehold.relay.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.endivehold.relay.engine.JobId;

/**
 * The requests that wait for engines, and the order in which they are tried.
 *
 * <p>Requests are tried in descending order of weight per prefill time. A turn searches engines for a few of them only.
 * Prompts of similar length form a group, and each group gets searches in every turn: requests that fit nowhere do not
 * hide those of other groups. A request for which no search was made in a turn is refused only if a search of its group
 * found no engines in that turn.
 *
 * <p>Example: a hundred short prompts wait for a slot, since all engines that have memory for them are full, and a long
 * one waits. Of the 8 searches of a turn the short prompts get 7 and the long one gets 1. It is placed as soon as
 * engines suit it, although it comes last in order.
 */
public final class Backlog {
    /** Maximum number of requests for which engines are searched in one turn, to keep the event loop responsive. */
    private static final int MAX_SEARCHES = 8;

    private static final Comparator<WaitingRequest> BY_WEIGHT =
            Comparator.comparingDouble(WaitingRequest::weightPerPrefillMillis).reversed();

    private final int capacity;
    private final Map<JobId, WaitingRequest> waiting = new LinkedHashMap<>();
    private final Map<String, WaitingRequest> firstUnplaced = new HashMap<>();
    private int turns;

    /** Decides on the requests that a turn considers. */
    interface Decisions {
        /** Searches engines for a request and sends it there; returns whether it was placed. */
        boolean tryPlace(WaitingRequest entry);

        /** Returns whether room may be kept for a request that was not placed. */
        default boolean mayClaimRoom(WaitingRequest entry) {
            return true;
        }

        /** Returns whether it is of no use that a request waits any longer. */
        boolean shouldRefuse(WaitingRequest entry);

        /** Refuses a request, which has been removed. */
        void refuse(WaitingRequest entry);
    }

    /**
     * Creates an empty backlog.
     *
     * @param capacity maximum number of waiting requests
     */
    Backlog(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a request; returns false if the backlog is full. */
    boolean add(WaitingRequest entry) {
        if (waiting.size() >= capacity) {
            return false;
        }
        waiting.put(entry.id(), entry);
        return true;
    }

    /** Removes a request; returns whether it was waiting. */
    boolean remove(JobId id) {
        WaitingRequest entry = waiting.remove(id);
        if (entry == null) {
            return false;
        }
        firstUnplaced.remove(entry.request().service(), entry);
        return true;
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

    int size() {
        return waiting.size();
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
        }
    }

    /**
     * Searches engines for the first requests in order and refuses those for which waiting is of no use. Requests may
     * be added and removed meanwhile; those added are considered in the next turn.
     */
    void runTurn(Decisions decisions) {
        firstUnplaced.clear();
        List<WaitingRequest> order = new ArrayList<>(waiting.values());
        order.sort(BY_WEIGHT);
        SearchBudget budget = searchBudget(order);
        for (WaitingRequest entry : order) {
            if (contains(entry.id())) {
                consider(entry, budget, decisions);
            }
        }
    }

    private SearchBudget searchBudget(List<WaitingRequest> order) {
        Map<PromptGroup, Integer> sizes = new LinkedHashMap<>();
        order.forEach(entry -> sizes.merge(PromptGroup.of(entry), 1, Integer::sum));
        return new SearchBudget(MAX_SEARCHES, sizes, turns++);
    }

    private void consider(WaitingRequest entry, SearchBudget budget, Decisions decisions) {
        PromptGroup group = PromptGroup.of(entry);
        if (budget.has(group)) {
            budget.take(group);
            if (decisions.tryPlace(entry)) {
                remove(entry.id());
                return;
            }
            budget.searchFailed(group);
            if (decisions.mayClaimRoom(entry)) {
                firstUnplaced.putIfAbsent(entry.request().service(), entry);
            }
        }
        if (budget.hasFailed(group) && decisions.shouldRefuse(entry) && remove(entry.id())) {
            decisions.refuse(entry);
        }
    }
}
