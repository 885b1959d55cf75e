package org.endivehold.relay.engine;

import java.util.List;

/**
 * The engines chosen for a request.
 *
 * @param engines the engines; the first of them writes, the others read a part each
 * @param heldTokens memory that the request takes at each of these engines, in tokens; what is not at the writer has to
 *     be reserved
 * @param firstMillis predicted time from now to the first token
 * @param cost predicted harm, to this request and to those that are there already
 */
public record Placement(List<String> engines, List<Long> heldTokens, double firstMillis, double cost) {
    /** Keeps immutable copies of the lists. */
    public Placement {
        engines = List.copyOf(engines);
        heldTokens = List.copyOf(heldTokens);
    }

    /** Tells whether memory has to be reserved at engines other than the writer. */
    public boolean reserves() {
        return heldTokens.stream().skip(1).anyMatch(tokens -> tokens > 0);
    }
}
