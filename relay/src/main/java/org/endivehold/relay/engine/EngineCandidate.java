package org.endivehold.relay.engine;

/**
 * An engine that may be chosen for a request.
 *
 * @param id id of the engine
 * @param slowdown how many times slower than its profile the engine runs; 1 if it runs at the speed of its profile
 * @param penalty cost of sending the request to it, in the unit of request weights; 0 if it is neither cold nor failing
 * @param bias from 0 to 1, specific to this daemon and engine; a higher one raises the cost of the engine, so that
 *     daemons choose different ones among similar engines
 * @param claimedTokens memory that is kept for another request and not available to this one, in tokens
 * @param claimedSlots slots that are kept for another request and not available to this one
 */
public record EngineCandidate(
        String id, double slowdown, double penalty, double bias, long claimedTokens, int claimedSlots) {
    /** Creates a candidate of which nothing is kept for another request. */
    public EngineCandidate(String id, double slowdown, double penalty, double bias) {
        this(id, slowdown, penalty, bias, 0, 0);
    }

    /** Returns the same engine with some room that is kept for another request. */
    public EngineCandidate without(long tokens, int slots) {
        return new EngineCandidate(id, slowdown, penalty, bias, tokens, slots);
    }
}
