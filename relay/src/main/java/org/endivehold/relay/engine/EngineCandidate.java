package org.endivehold.relay.engine;

/**
 * An engine that may be chosen for a request.
 *
 * @param id id of the engine
 * @param slowdown how many times slower than its profile the engine runs; 1 if it runs at the speed of its profile
 * @param penalty cost of sending the request to it, in the unit of request weights; 0 if it is neither cold nor failing
 * @param bias from 0 to 1, specific to this daemon and engine; a higher one raises the cost of the engine, so that
 *     daemons choose different ones among similar engines
 */
public record EngineCandidate(String id, double slowdown, double penalty, double bias) {}
