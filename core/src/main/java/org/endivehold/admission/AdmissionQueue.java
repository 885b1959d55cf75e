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
 * The requests that wait for capacity at one daemon.
 *
 * <p>Who goes next is decided in three steps. Between classes, interactive requests go first but for a small guaranteed
 * share, by fair queueing with very unequal weights, so deferrable requests never starve. Between the customers of a
 * class, start-time fair queueing by token cost, so that a customer's surge delays itself and not the others. Among the
 * requests of one customer, the earliest latest start.
 *
 * <p>Every entry leaves in exactly one way: taken, refused, or removed by its owner. An entry whose latest start has
 * passed is refused at once rather than when its deadline passes. When the queue is full, room is made at the cost of
 * whoever has most waiting, deferrable requests first, so no customer can lock others out.
 *
 * <p>Example: a queue of four holds four requests of customer A when B's first arrives: A's newest is refused.
 *
 * @param <T> type of the requests
 */
public final class AdmissionQueue<T> {
    /** Weight of interactive requests against deferrable ones. */
    public static final double INTERACTIVE_WEIGHT = 19;
    /** Weight of deferrable requests. */
    public static final double DEFERRABLE_WEIGHT = 1;

    private static final int MAX_SCAN = 128;
    private static final int MAX_IDLE_FLOWS = 10_000;
    private static final long LEAST_RETRY_MILLIS = 1_000;
    private static final long MOST_RETRY_MILLIS = 60_000;

    private final int maxQueued;
    private final FairFlows<RequestClass> classes = new FairFlows<>();
    private final Map<RequestClass, FairFlows<CustomerName>> customers = new EnumMap<>(RequestClass.class);
    private final Map<RequestClass, Map<CustomerName, NavigableSet<AdmissionEntry<T>>>> waiting =
            new EnumMap<>(RequestClass.class);
    private final NavigableSet<AdmissionEntry<T>> byLatestStart = new TreeSet<>(latestStart());
    private final Map<CustomerName, Integer> running = new HashMap<>();
    private final Map<CustomerName, Integer> queued = new HashMap<>();
    private final Map<CustomerName, CustomerLimits> limits = new HashMap<>();
    private final DrainRate drain = new DrainRate();
    private double backlog;

    /**
     * Creates an empty queue.
     *
     * @param maxQueued most requests that wait
     */
    public AdmissionQueue(int maxQueued) {
        this.maxQueued = maxQueued;
        for (RequestClass requestClass : RequestClass.values()) {
            customers.put(requestClass, new FairFlows<>());
            waiting.put(requestClass, new HashMap<>());
        }
    }

    private static <T> Comparator<AdmissionEntry<T>> latestStart() {
        return Comparator.<AdmissionEntry<T>>comparingLong(AdmissionEntry::latestStartAt)
                .thenComparingLong(AdmissionEntry::number);
    }

    /**
     * Adds a request, or refuses it or another one.
     *
     * @param entry the request
     * @param limit bounds of its customer
     * @param now monotonic time in milliseconds
     * @return the refused request, which may be this one; empty if none is
     */
    public Optional<Refusal<T>> offer(AdmissionEntry<T> entry, CustomerLimits limit, long now) {
        limits.put(entry.customer(), limit);
        if (queued.getOrDefault(entry.customer(), 0) >= limit.maxQueued()) {
            return refuse(
                    entry, new EndiveholdException(ErrorType.CUSTOMER_LIMIT, entry.customer(), limit.maxQueued()));
        }
        if (now + waitMillis(entry) > entry.latestStartAt()) {
            return refuse(entry, new EndiveholdException(ErrorType.DEADLINE_UNREACHABLE));
        }
        Optional<Refusal<T>> pushedOut = Optional.empty();
        if (byLatestStart.size() >= maxQueued) {
            AdmissionEntry<T> victim = victim(entry);
            EndiveholdException full = new EndiveholdException(
                    ErrorType.QUEUE_FULL, victim.requestClass().word());
            pushedOut = refuse(victim, full);
            if (victim.number() == entry.number()) {
                return pushedOut;
            }
            remove(victim);
        }
        add(entry, now);
        return pushedOut;
    }

    private void add(AdmissionEntry<T> entry, long now) {
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> ofClass = waiting.get(entry.requestClass());
        if (ofClass.isEmpty()) {
            classes.activate(entry.requestClass());
        }
        if (!ofClass.containsKey(entry.customer())) {
            customers.get(entry.requestClass()).activate(entry.customer());
        }
        ofClass.computeIfAbsent(entry.customer(), name -> new TreeSet<>(latestStart()))
                .add(entry);
        byLatestStart.add(entry);
        queued.merge(entry.customer(), 1, Integer::sum);
        backlog += entry.costTokens();
        drain.backlogged(now);
    }

    /**
     * Takes the next request that can start, and counts it as running until {@link #ended}.
     *
     * @param fits tells whether a request can start now
     * @param now monotonic time in milliseconds
     * @return the request, or empty if none can start
     */
    public Optional<AdmissionEntry<T>> take(Predicate<AdmissionEntry<T>> fits, long now) {
        int[] scans = {MAX_SCAN};
        for (RequestClass requestClass : classes.order(activeClasses(), Comparator.naturalOrder())) {
            for (CustomerName customer : customerOrder(requestClass)) {
                Optional<AdmissionEntry<T>> found = firstFitting(requestClass, customer, fits, scans);
                if (found.isPresent()) {
                    serve(found.get(), now);
                    return found;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<AdmissionEntry<T>> firstFitting(
            RequestClass requestClass, CustomerName customer, Predicate<AdmissionEntry<T>> fits, int[] scans) {
        CustomerLimits limit = limits.get(customer);
        if (running.getOrDefault(customer, 0) >= limit.maxConcurrent()) {
            return Optional.empty();
        }
        for (AdmissionEntry<T> entry : waiting.get(requestClass).get(customer)) {
            if (scans[0]-- <= 0) {
                return Optional.empty();
            }
            if (fits.test(entry)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    private void serve(AdmissionEntry<T> entry, long now) {
        boolean interactive = entry.requestClass() == RequestClass.INTERACTIVE;
        classes.charge(entry.requestClass(), entry.costTokens(), interactive ? INTERACTIVE_WEIGHT : DEFERRABLE_WEIGHT);
        customers.get(entry.requestClass()).charge(entry.customer(), entry.costTokens(), entry.weight());
        running.merge(entry.customer(), 1, Integer::sum);
        drain.served(entry.costTokens(), now);
        remove(entry);
    }

    /**
     * A request that was taken has ended.
     *
     * @param customer its customer
     */
    public void ended(CustomerName customer) {
        running.computeIfPresent(customer, (name, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Removes a request that waits, because its caller is gone; does nothing if it does not wait.
     *
     * @param entry the request
     */
    public void remove(AdmissionEntry<T> entry) {
        if (!byLatestStart.remove(entry)) {
            return;
        }
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> ofClass = waiting.get(entry.requestClass());
        NavigableSet<AdmissionEntry<T>> ofCustomer = ofClass.get(entry.customer());
        ofCustomer.remove(entry);
        if (ofCustomer.isEmpty()) {
            ofClass.remove(entry.customer());
        }
        queued.computeIfPresent(entry.customer(), (name, count) -> count == 1 ? null : count - 1);
        backlog -= entry.costTokens();
        if (byLatestStart.isEmpty()) {
            drain.idle();
            backlog = 0;
        }
        forgetIdle(entry);
    }

    private void forgetIdle(AdmissionEntry<T> entry) {
        FairFlows<CustomerName> flows = customers.get(entry.requestClass());
        if (flows.size() > MAX_IDLE_FLOWS) {
            flows.forgetIdle(waiting.get(entry.requestClass())::containsKey);
        }
        if (!queued.containsKey(entry.customer()) && !running.containsKey(entry.customer())) {
            limits.remove(entry.customer());
        }
    }

    /**
     * Refuses the requests that can no longer be finished before their deadlines.
     *
     * @param now monotonic time in milliseconds
     * @return the refused requests, which wait no longer
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
     * Returns the number of requests that wait.
     *
     * @return the number
     */
    public int size() {
        return byLatestStart.size();
    }

    /**
     * Returns the requests that wait.
     *
     * @return a copy, the most pressing first
     */
    public List<AdmissionEntry<T>> entries() {
        return List.copyOf(byLatestStart);
    }

    /**
     * Advises when to come back: when the present backlog should be done.
     *
     * @return a time in milliseconds
     */
    public long retryAfterMillis() {
        return Math.max(LEAST_RETRY_MILLIS, Math.min(MOST_RETRY_MILLIS, drain.millisFor(backlog)));
    }

    /**
     * Predicts how long a new request waits at least: until what its own customer has waiting in its class, and as much
     * of the other customers' of that class as fair queueing puts before it, is done.
     */
    private long waitMillis(AdmissionEntry<T> entry) {
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> ofClass = waiting.get(entry.requestClass());
        double own = ownBefore(entry, ofClass.get(entry.customer()));
        double before = own;
        for (Map.Entry<CustomerName, NavigableSet<AdmissionEntry<T>>> other : ofClass.entrySet()) {
            if (!other.getKey().equals(entry.customer())) {
                AdmissionEntry<T> first = other.getValue().first();
                double theirs = other.getValue().size() * (double) first.costTokens();
                before += Math.min(theirs, own * first.weight() / entry.weight());
            }
        }
        return drain.millisFor(before);
    }

    private double ownBefore(AdmissionEntry<T> entry, NavigableSet<AdmissionEntry<T>> own) {
        if (own == null) {
            return 0;
        }
        return own.headSet(entry).stream()
                .mapToDouble(AdmissionEntry::costTokens)
                .sum();
    }

    /** Chooses who makes room: the newest of whoever has most waiting, deferrable requests first. */
    private AdmissionEntry<T> victim(AdmissionEntry<T> newcomer) {
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> deferrable = waiting.get(RequestClass.DEFERRABLE);
        boolean fromDeferrable = newcomer.requestClass() == RequestClass.DEFERRABLE || !deferrable.isEmpty();
        RequestClass requestClass = fromDeferrable ? RequestClass.DEFERRABLE : RequestClass.INTERACTIVE;
        CustomerName most = newcomer.customer();
        int own = count(requestClass, newcomer.customer());
        int longest = newcomer.requestClass() == requestClass ? own + 1 : own;
        for (CustomerName customer : waiting.get(requestClass).keySet()) {
            if (count(requestClass, customer) > longest) {
                most = customer;
                longest = count(requestClass, customer);
            }
        }
        if (most.equals(newcomer.customer()) && newcomer.requestClass() == requestClass) {
            return newcomer;
        }
        return waiting.get(requestClass).get(most).stream()
                .max(Comparator.comparingLong(AdmissionEntry::number))
                .orElse(newcomer);
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
        Map<CustomerName, NavigableSet<AdmissionEntry<T>>> ofClass = waiting.get(requestClass);
        Comparator<CustomerName> earliest =
                Comparator.comparing(customer -> ofClass.get(customer).first(), latestStart());
        return customers.get(requestClass).order(ofClass.keySet(), earliest);
    }

    private Optional<Refusal<T>> refuse(AdmissionEntry<T> entry, EndiveholdException failure) {
        return Optional.of(new Refusal<>(entry.item(), failure, retryAfterMillis()));
    }
}
