package org.endivehold.relay.engine;

/**
 * An engine that may be chosen for a request.
 *
 * @param id id of the engine
 * @param slowdown how many times slower than its profile the engine runs; 1 if it runs at the speed of its profile
 * @param penalty cost of sending any request to it, in the unit of request weights; 0 for a healthy engine
 * @param bias from 0 to 1, specific to this daemon and engine; among equally good engines the lowest is chosen, so that
 *     daemons choose different ones
 */
public record EngineCandidate(String id, double slowdown, double penalty, double bias) {}
