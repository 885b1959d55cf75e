package org.endivehold.relay.engine;

import java.util.List;

/**
 * The engines chosen for a request.
 *
 * @param engines ids of the engines; the first also decodes the answer, the others prefill a part each
 * @param heldTokens memory that the request takes at each of these engines, in tokens; at all but the first it has to
 *     be reserved
 * @param firstTokenMillis predicted time from now to the first token
 * @param costToOthers predicted cost to other requests, in the unit of request weights, with the costs of using these
 *     engines
 * @param ownCost predicted cost of the request's own lateness: its weight if it is just late, more if it is later
 */
public record Placement(
        List<String> engines, List<Long> heldTokens, double firstTokenMillis, double costToOthers, double ownCost) {
    /** Keeps immutable copies of the lists. */
    public Placement {
        engines = List.copyOf(engines);
        heldTokens = List.copyOf(heldTokens);
    }

    /** Returns the predicted cost to this and all other requests, in the unit of request weights. */
    public double cost() {
        return costToOthers + ownCost;
    }

    /** Returns whether memory has to be reserved at helpers. */
    public boolean needsReservation() {
        return heldTokens.stream().skip(1).anyMatch(tokens -> tokens > 0);
    }
}
