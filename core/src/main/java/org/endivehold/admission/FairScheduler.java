package org.endivehold.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Start-time fair queueing (SFQ) over flows, such as customers or request classes.
 *
 * <p>Each flow has a start tag, the virtual time at which its next request may start. When a request of a flow is
 * served, the flow's tag grows by the request's cost divided by the flow's weight. The flow with the smallest tag is
 * served first, so two flows that always have requests waiting get service in proportion to their weights, within the
 * cost of one request. Virtual time is the tag of the flow served last. A flow that becomes active after a pause starts
 * at the virtual time: it neither accumulates service while idle nor pays later for what it used while no other flow
 * waited.
 *
 * <p>Example: customer A sends 1,000 requests of cost 10 at once and B one of cost 10 a moment later, both of weight
 * one. A's tag is 10 after its first request; B starts at virtual time 0 and is served second, not last.
 *
 * @param <K> type of the flow's identifier
 */
final class FairScheduler<K> {
    private final Map<K, Double> tags = new HashMap<>();
    private double virtualTime;

    /**
     * Activates a flow whose first request begins to wait.
     *
     * @param flow a flow that had nothing waiting
     */
    void activate(K flow) {
        tags.merge(flow, virtualTime, Math::max);
    }

    /**
     * Charges a flow for a request that starts now.
     *
     * @param flow the flow
     * @param cost cost of the request in tokens
     * @param weight weight of the flow, positive
     */
    void charge(K flow, long cost, double weight) {
        double tag = tags.getOrDefault(flow, virtualTime);
        virtualTime = Math.max(virtualTime, tag);
        tags.put(flow, tag + cost / weight);
    }

    /**
     * Orders flows by the turn in which they are served.
     *
     * @param flows flows with waiting requests
     * @param tieBreaker order between flows with equal tags
     * @return the flows, the one to serve next first
     */
    List<K> order(Iterable<K> flows, Comparator<K> tieBreaker) {
        Comparator<K> byTag = Comparator.comparingDouble(flow -> tags.getOrDefault(flow, virtualTime));
        return java.util.stream.StreamSupport.stream(flows.spliterator(), false)
                .sorted(byTag.thenComparing(tieBreaker))
                .toList();
    }

    /**
     * Removes the flows that have nothing waiting and whose tag is not ahead of the virtual time. They would start at
     * the virtual time anyway.
     *
     * @param waiting whether a flow has requests waiting
     */
    void removeIdle(java.util.function.Predicate<K> waiting) {
        tags.entrySet().removeIf(e -> !waiting.test(e.getKey()) && e.getValue() <= virtualTime);
    }

    /**
     * Returns the number of flows that have a start tag.
     *
     * @return the number, including idle flows
     */
    int size() {
        return tags.size();
    }
}
