package org.endivehold.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.endivehold.config.RequestClass;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.CustomerName;

/**
 * Queue of the requests that wait for capacity at one daemon.
 *
 * <p>The next request is chosen in three steps. Between request classes, fair queueing with very unequal weights serves
 * interactive requests first and guarantees deferrable ones a small share, so that they never starve. Between the
 * customers of a class, start-time fair queueing by token cost makes a customer's burst delay only that customer's own
 * requests. Among the requests of one customer, the one with the earliest latest start time is chosen.
 *
 * <p>Every entry leaves the queue in exactly one way: taken, refused, or removed by its owner. An entry whose latest
 * start time has passed is refused at once rather than when its deadline passes. When the queue is full, the newest
 * request of the customer with the most waiting requests is refused, deferrable requests first, so that no customer can
 * lock others out.
 *
 * <p>Example: a queue with room for four holds four requests of customer A when the first of customer B arrives. A's
 * newest request is refused, and B's is queued.
 *
 * @param <T> type of the requests
 */
public final class AdmissionQueue<T> {
    /** Fair-queueing weight of interactive requests. */
    public static final double INTERACTIVE_WEIGHT = 19;
    /** Fair-queueing weight of deferrable requests. */
    public static final double DEFERRABLE_WEIGHT = 1;

    /** Entries tested in one call of {@link #take}; bounds its time when many entries do not fit. */
    private static final int MAX_SCANNED_ENTRIES = 128;
    /** Customers tracked in one class above which idle ones are dropped, which bounds the memory used. */
    private static final int MAX_TRACKED_CUSTOMERS = 10_000;

    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    private final int maxQueued;
    private final FairScheduler<RequestClass> classes = new FairScheduler<>();
    private final Map<RequestClass, FairScheduler<CustomerName>> customers = new EnumMap<>(RequestClass.class);
    private final Map<RequestClass, Map<CustomerName, NavigableSet<AdmissionEntry<T>>>> waiting =
            new EnumMap<>(RequestClass.class);
    private final NavigableSet<AdmissionEntry<T>> byLatestStart = new TreeSet<>(latestStart());
    private final Map<CustomerName, Integer> running = new HashMap<>();
    private final Map<CustomerName, Integer> queued = new HashMap<>();
    private final Map<CustomerName, CustomerLimits> limits = new HashMap<>();
    private final DrainRate drain = new DrainRate();
    private double backlogTokens;

    /**
     * Creates an empty queue.
     *
     * @param maxQueued largest number of waiting requests, over all customers
     */
    public AdmissionQueue(int maxQueued) {
        this.maxQueued = maxQueued;
        for (RequestClass requestClass : RequestClass.values()) {
            customers.put(requestClass, new FairScheduler<>());
            waiting.put(requestClass, new HashMap<>());
        }
    }

    private static <T> Comparator<AdmissionEntry<T>> latestStart() {
        return Comparator.<AdmissionEntry<T>>comparingLong(AdmissionEntry::latestStartAt)
                .thenComparingLong(AdmissionEntry::number);
    }

    /**
     * Adds a request. It is refused if its customer's limit is reached or it cannot start in time; if the queue is
     * full, it or another request is refused.
     *
     * @param entry the request
     * @param limit limits of its customer, which replace those given before
     * @param now monotonic time in milliseconds
     * @return the refused request, which may be this one; empty if none is
     */
    public Optional<Refusal<T>> offer(AdmissionEntry<T> entry, CustomerLimits limit, long now) {
        limits.put(entry.customer(), limit);
        if (queued.getOrDefault(entry.customer(), 0) >= limit.maxQueued()) {
            return refuse(
                    entry, new EndiveholdException(ErrorType.CUSTOMER_LIMIT, entry.customer(), limit.maxQueued()));
        }
        if (now + minWaitMillis(entry) > entry.latestStartAt()) {
            return refuse(entry, new EndiveholdException(ErrorType.DEADLINE_UNREACHABLE));
        }
        Optional<Refusal<T>> refusal = Optional.empty();
        if (byLatestStart.size() >= maxQueued) {
            AdmissionEntry<T> evicted = selectEvicted(entry);
            EndiveholdException full = new EndiveholdException(
                    ErrorType.QUEUE_FULL, evicted.requestClass().label());
            refusal = refuse(evicted, full);
            if (evicted.number() == entry.number()) {
                return refusal;
            }
            remove(evicted);
        }
        add(entry, now);
        return refusal;
    }

    private void add(AdmissionEntry<T> entry, long now) {
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> byCustomer = waiting.get(entry.requestClass());
        if (byCustomer.isEmpty()) {
            classes.activate(entry.requestClass());
        }
        if (!byCustomer.containsKey(entry.customer())) {
            customers.get(entry.requestClass()).activate(entry.customer());
        }
        byCustomer
                .computeIfAbsent(entry.customer(), name -> new TreeSet<>(latestStart()))
                .add(entry);
        byLatestStart.add(entry);
        queued.merge(entry.customer(), 1, Integer::sum);
        backlogTokens += entry.costTokens();
        drain.backlogged(now);
    }

    /**
     * Takes the next request that can start, and counts it against its customer's limit until {@link #ended}.
     *
     * @param fits whether a request can start now
     * @param now monotonic time in milliseconds
     * @return the request, or empty if none can start
     */
    public Optional<AdmissionEntry<T>> take(Predicate<AdmissionEntry<T>> fits, long now) {
        int[] scansLeft = {MAX_SCANNED_ENTRIES};
        for (RequestClass requestClass : classes.order(activeClasses(), Comparator.naturalOrder())) {
            for (CustomerName customer : customerOrder(requestClass)) {
                Optional<AdmissionEntry<T>> found = firstFitting(requestClass, customer, fits, scansLeft);
                if (found.isPresent()) {
                    recordTaken(found.get(), now);
                    return found;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<AdmissionEntry<T>> firstFitting(
            RequestClass requestClass, CustomerName customer, Predicate<AdmissionEntry<T>> fits, int[] scansLeft) {
        CustomerLimits limit = limits.get(customer);
        if (running.getOrDefault(customer, 0) >= limit.maxConcurrent()) {
            return Optional.empty();
        }
        for (AdmissionEntry<T> entry : waiting.get(requestClass).get(customer)) {
            if (scansLeft[0]-- <= 0) {
                return Optional.empty();
            }
            if (fits.test(entry)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    private void recordTaken(AdmissionEntry<T> entry, long now) {
        boolean interactive = entry.requestClass() == RequestClass.INTERACTIVE;
        classes.charge(entry.requestClass(), entry.costTokens(), interactive ? INTERACTIVE_WEIGHT : DEFERRABLE_WEIGHT);
        customers.get(entry.requestClass()).charge(entry.customer(), entry.costTokens(), entry.weight());
        running.merge(entry.customer(), 1, Integer::sum);
        drain.served(entry.costTokens(), now);
        remove(entry);
    }

    /**
     * Records that a request returned by {@link #take} has ended.
     *
     * @param customer the customer of the request
     */
    public void ended(CustomerName customer) {
        running.computeIfPresent(customer, (name, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Removes a waiting request, for example because its caller disconnected; does nothing if it is not in the queue.
     *
     * @param entry the request
     */
    public void remove(AdmissionEntry<T> entry) {
        if (!byLatestStart.remove(entry)) {
            return;
        }
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> byCustomer = waiting.get(entry.requestClass());
        NavigableSet<AdmissionEntry<T>> ofCustomer = byCustomer.get(entry.customer());
        ofCustomer.remove(entry);
        if (ofCustomer.isEmpty()) {
            byCustomer.remove(entry.customer());
        }
        queued.computeIfPresent(entry.customer(), (name, count) -> count == 1 ? null : count - 1);
        backlogTokens -= entry.costTokens();
        if (byLatestStart.isEmpty()) {
            drain.idle();
            backlogTokens = 0;
        }
        dropIdleState(entry);
    }

    private void dropIdleState(AdmissionEntry<T> entry) {
        FairScheduler<CustomerName> scheduler = customers.get(entry.requestClass());
        if (scheduler.size() > MAX_TRACKED_CUSTOMERS) {
            scheduler.removeIdle(waiting.get(entry.requestClass())::containsKey);
        }
        if (!queued.containsKey(entry.customer()) && !running.containsKey(entry.customer())) {
            limits.remove(entry.customer());
        }
    }

    /**
     * Removes and refuses the requests that can no longer finish before their deadlines.
     *
     * @param now monotonic time in milliseconds
     * @return the refusals, earliest latest start time first
     */
    public List<Refusal<T>> expire(long now) {
        List<Refusal<T>> refused = new ArrayList<>();
        while (!byLatestStart.isEmpty() && byLatestStart.first().latestStartAt() < now) {
            AdmissionEntry<T> entry = byLatestStart.first();
            refuse(entry, new EndiveholdException(ErrorType.DEADLINE_UNREACHABLE))
                    .ifPresent(refused::add);
            remove(entry);
        }
        return refused;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number over all classes and customers
     */
    public int size() {
        return byLatestStart.size();
    }

    /**
     * Returns the waiting requests.
     *
     * @return a copy, earliest latest start time first
     */
    public List<AdmissionEntry<T>> entries() {
        return List.copyOf(byLatestStart);
    }

    /**
     * Returns the delay after which a refused caller should retry: the predicted time to serve the present backlog, but
     * at least one second and at most one minute.
     *
     * @return a duration in milliseconds
     */
    public long retryAfterMillis() {
        return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, drain.millisFor(backlogTokens)));
    }

    /**
     * Predicts the least time that a new request waits: the time to serve its own customer's earlier requests of its
     * class, and those requests of the class's other customers that fair queueing serves before it.
     */
    private long minWaitMillis(AdmissionEntry<T> entry) {
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> byCustomer = waiting.get(entry.requestClass());
        double ownCost = ownCostBefore(entry, byCustomer.get(entry.customer()));
        double costBefore = ownCost;
        for (Map.Entry<CustomerName, NavigableSet<AdmissionEntry<T>>> other : byCustomer.entrySet()) {
            if (!other.getKey().equals(entry.customer())) {
                AdmissionEntry<T> first = other.getValue().first();
                double otherCost = other.getValue().size() * (double) first.costTokens();
                costBefore += Math.min(otherCost, ownCost * first.weight() / entry.weight());
            }
        }
        return drain.millisFor(costBefore);
    }

    private double ownCostBefore(AdmissionEntry<T> entry, NavigableSet<AdmissionEntry<T>> ownEntries) {
        if (ownEntries == null) {
            return 0;
        }
        return ownEntries.headSet(entry).stream()
                .mapToDouble(AdmissionEntry::costTokens)
                .sum();
    }

    /**
     * Chooses the request to refuse when the queue is full: the newest of the customer with the most waiting requests,
     * deferrable requests first.
     */
    private AdmissionEntry<T> selectEvicted(AdmissionEntry<T> arrival) {
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> deferrable = waiting.get(RequestClass.DEFERRABLE);
        boolean fromDeferrable = arrival.requestClass() == RequestClass.DEFERRABLE || !deferrable.isEmpty();
        RequestClass requestClass = fromDeferrable ? RequestClass.DEFERRABLE : RequestClass.INTERACTIVE;
        CustomerName largest = arrival.customer();
        int ownCount = count(requestClass, arrival.customer());
        int largestCount = arrival.requestClass() == requestClass ? ownCount + 1 : ownCount;
        for (CustomerName customer : waiting.get(requestClass).keySet()) {
            if (count(requestClass, customer) > largestCount) {
                largest = customer;
                largestCount = count(requestClass, customer);
            }
        }
        if (largest.equals(arrival.customer()) && arrival.requestClass() == requestClass) {
            return arrival;
        }
        return waiting.get(requestClass).get(largest).stream()
                .max(Comparator.comparingLong(AdmissionEntry::number))
                .orElse(arrival);
    }

    private int count(RequestClass requestClass, CustomerName customer) {
        NavigableSet<AdmissionEntry<T>> entries = waiting.get(requestClass).get(customer);
        return entries == null ? 0 : entries.size();
    }

    private List<RequestClass> activeClasses() {
        return waiting.entrySet().stream()
                .filter(e -> !e.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .toList();
    }

    private List<CustomerName> customerOrder(RequestClass requestClass) {
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> byCustomer = waiting.get(requestClass);
        Comparator<CustomerName> earliest =
                Comparator.comparing(customer -> byCustomer.get(customer).first(), latestStart());
        return customers.get(requestClass).order(byCustomer.keySet(), earliest);
    }

    private Optional<Refusal<T>> refuse(AdmissionEntry<T> entry, EndiveholdException failure) {
        return Optional.of(new Refusal<>(entry.item(), failure, retryAfterMillis()));
    }
}
