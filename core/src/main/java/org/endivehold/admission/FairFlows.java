package org.endivehold.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Start-time fair queueing over flows, such as customers or classes.
 *
 * <p>Each flow has a start tag, the virtual time at which its next request may start. Whoever is served is charged its
 * cost over its weight: the tag moves on by that much. The flow with the smallest tag goes first, so over any time two
 * flows that always wait get service in proportion to their weights, within the cost of one request. Virtual time is
 * the tag of the flow served last; a flow that comes back after a pause starts there and so can neither save up service
 * nor be punished for what it used while nobody else waited.
 *
 * <p>Example: customer A sends 1,000 requests of cost 10 at once and B one of cost 10 a moment later, both of weight
 * one. A's tag is 10 after its first request; B starts at virtual time 0 and is served second, not last.
 *
 * @param <K> what names a flow
 */
final class FairFlows<K> {
    private final Map<K, Double> tags = new HashMap<>();
    private double virtualTime;

    /**
     * A flow begins to wait.
     *
     * @param flow the flow, which had nothing waiting
     */
    void activate(K flow) {
        tags.merge(flow, virtualTime, Math::max);
    }

    /**
     * Charges a flow for a request that starts now.
     *
     * @param flow the flow
     * @param cost cost in tokens
     * @param weight share of the flow
     */
    void charge(K flow, long cost, double weight) {
        double tag = tags.getOrDefault(flow, virtualTime);
        virtualTime = Math.max(virtualTime, tag);
        tags.put(flow, tag + cost / weight);
    }

    /**
     * Orders flows that wait.
     *
     * @param flows the flows
     * @param ties decides between equal tags
     * @return the flows, the one to serve first in front
     */
    List<K> order(Iterable<K> flows, Comparator<K> ties) {
        Comparator<K> byTag = Comparator.comparingDouble(flow -> tags.getOrDefault(flow, virtualTime));
        return java.util.stream.StreamSupport.stream(flows.spliterator(), false)
                .sorted(byTag.thenComparing(ties))
                .toList();
    }

    /**
     * Forgets flows that have nothing waiting and owe nothing.
     *
     * @param waiting tells whether a flow waits
     */
    void forgetIdle(java.util.function.Predicate<K> waiting) {
        tags.entrySet().removeIf(e -> !waiting.test(e.getKey()) && e.getValue() <= virtualTime);
    }

    /**
     * Returns the number of flows that are remembered.
     *
     * @return the number
     */
    int size() {
        return tags.size();
    }
}
