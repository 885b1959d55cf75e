package org.endivehold.relay.engine;

import java.util.List;

/**
 * The engines chosen for a request.
 *
 * @param engines the engines; the first of them writes, the others read a part each
 * @param firstMillis predicted time from now to the first token
 * @param cost predicted harm, to this request and to those that are there already
 */
public record Placement(List<String> engines, double firstMillis, double cost) {
    /** Keeps an immutable copy of the engines. */
    public Placement {
        engines = List.copyOf(engines);
    }
}
