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
import java.util.function.Predicate;
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
 * requests that fit nowhere do not hide those of other groups. Within a group, half of the searches are kept for
 * requests for which none has been made yet, so that a few that are found no engines again and again do not hide the
 * others. A request for which no search was made in a turn is refused only if a search of its group found no engines in
 * that turn.
 *
 * <p>Example: a hundred short prompts wait for a slot, since all engines that have memory for them are full, and a long
 * one waits. Of the 8 searches of a turn the short prompts get 7 and the long one gets 1. It is placed as soon as
 * engines suit it, although it comes last in order.
 */
public final class Backlog {
    /** Maximum number of requests for which engines are searched in one turn, to keep the event loop responsive. */
    private static final int MAX_SEARCHES = 8;

    /** A full backlog accepts a further {@code capacity / OVERFLOW_DIVISOR} requests until the next turn. */
    private static final int OVERFLOW_DIVISOR = 4;

    private final int capacity;
    private final Map<JobId, WaitingRequest> waiting = new LinkedHashMap<>();
    private final Map<String, RankedShares> shares = new HashMap<>();
    private final Map<PromptGroup, Integer> classedByGroup = new HashMap<>();
    /** Why the last search for a waiting request did not place it. */
    private final Map<JobId, WaitReason> unplacedReasons = new HashMap<>();

    private final Map<String, WaitingRequest> firstUnplaced = new HashMap<>();
    private int turns;

    /** Decides on the requests that a turn considers. */
    public interface Decisions {
        /** Searches engines for a request and sends it there; returns why it was not placed, empty if it was. */
        Optional<WaitReason> tryPlace(WaitingRequest entry);

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
     *
     * @param entry the request
     * @param searched why a search for it did not place it; empty if none was made
     */
    public boolean add(WaitingRequest entry, Optional<WaitReason> searched) {
        int limit = entry.isClassed() ? capacity + capacity / OVERFLOW_DIVISOR : capacity;
        if (waiting.size() >= limit) {
            return false;
        }
        waiting.put(entry.id(), entry);
        searched.ifPresent(reason -> unplacedReasons.put(entry.id(), reason));
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
        unplacedReasons.remove(id);
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
     * in milliseconds of one engine. Customers are served equally, so this is the work of its own customer, including
     * the request itself, times the number of customers that wait, but at most the work of all waiting requests.
     * Requests of lower ranks do not count.
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
     * Returns whether requests of a class other than the default wait for room in the group of a request, so that it
     * has to wait for its turn: placed at once, it would overtake them. Requests whose last search ended with
     * {@link WaitReason#HARM} do not count: a new request, which is not late yet, may be worth more than they are, and
     * would become late if it queued behind them.
     */
    public boolean mustQueue(WaitingRequest entry) {
        PromptGroup group = PromptGroup.of(entry);
        return entry.isClassed()
                && classedByGroup.containsKey(group)
                && waiting.values().stream()
                        .anyMatch(other -> other.isClassed()
                                && unplacedReasons.get(other.id()) != WaitReason.HARM
                                && PromptGroup.of(other).equals(group));
    }

    /** Returns why a request waits; empty if it is not waiting. */
    Optional<WaitReason> reason(JobId id) {
        return contains(id) ? Optional.of(unplacedReasons.getOrDefault(id, WaitReason.ORDER)) : Optional.empty();
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
        if (entry != null && decisions.tryPlace(entry).isEmpty()) {
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
        byService.values().forEach(entries -> search(entries, budget, decisions));
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

    /**
     * Searches engines for the requests of a service, as many as the budget allows: first with a part of it kept for
     * requests for which no search has been made yet, then with what is left.
     */
    private void search(List<WaitingRequest> entries, SearchBudget budget, Decisions decisions) {
        RankedShares serviceShares = shares(entries.get(0));
        Set<JobId> tried = new HashSet<>();
        search(
                new TurnOrder(entries, serviceShares),
                entry -> !unplacedReasons.containsKey(entry.id()) || budget.mayRepeat(PromptGroup.of(entry)),
                tried,
                budget,
                decisions);
        if (entries.stream().anyMatch(entry -> budget.has(PromptGroup.of(entry)))) {
            search(new TurnOrder(entries, serviceShares), entry -> true, tried, budget, decisions);
        }
    }

    private void search(
            TurnOrder order,
            Predicate<WaitingRequest> mayTry,
            Set<JobId> tried,
            SearchBudget budget,
            Decisions decisions) {
        Predicate<WaitingRequest> available = entry -> budget.has(PromptGroup.of(entry))
                && contains(entry.id())
                && !tried.contains(entry.id())
                && mayTry.test(entry);
        Optional<WaitingRequest> next = order.next(available);
        while (next.isPresent()) {
            tried.add(next.get().id());
            search(next.get(), budget, decisions);
            next = order.next(available);
        }
    }

    private void search(WaitingRequest entry, SearchBudget budget, Decisions decisions) {
        PromptGroup group = PromptGroup.of(entry);
        boolean repeated = unplacedReasons.containsKey(entry.id());
        Optional<WaitReason> unplaced = decisions.tryPlace(entry);
        budget.take(group, unplaced.isEmpty(), repeated);
        if (unplaced.isEmpty()) {
            remove(entry.id());
            shares(entry).placedAfterWaiting(entry.traffic());
        } else if (contains(entry.id())) {
            unplacedReasons.put(entry.id(), unplaced.get());
            // With HARM there is room, but using it would make other requests late. A claim does not change that.
            if (unplaced.get() == WaitReason.NO_ENGINE && decisions.mayClaimRoom(entry)) {
                firstUnplaced.putIfAbsent(entry.request().service(), entry);
            }
        }
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
