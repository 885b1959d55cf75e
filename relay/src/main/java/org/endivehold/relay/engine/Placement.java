package org.endivehold.relay.engine;

import java.util.List;

/**
 * The engines chosen for a request.
 *
 * @param engines the engines; the first of them writes, the others read a part each
 * @param heldTokens memory that the request takes at each of these engines, in tokens; what is not at the writer has to
 *     be reserved
 * @param firstMillis predicted time from now to the first token
 * @param harm predicted harm to requests that are there already, in the unit of request weights
 * @param risk predicted harm to the request itself: its weight if it is just late, more if it is later
 */
public record Placement(List<String> engines, List<Long> heldTokens, double firstMillis, double harm, double risk) {
    /** Keeps immutable copies of the lists. */
    public Placement {
        engines = List.copyOf(engines);
        heldTokens = List.copyOf(heldTokens);
    }

    /** Returns the predicted harm to all. */
    public double cost() {
        return harm + risk;
    }

    /** Tells whether memory has to be reserved at engines other than the writer. */
    public boolean reserves() {
        return heldTokens.stream().skip(1).anyMatch(tokens -> tokens > 0);
    }
}
