package org.endivehold.relay.engine;

/**
 * An engine that may get a request.
 *
 * @param id its id
 * @param pace how many times slower than its profile it is; 1 if it keeps it
 * @param penalty cost of sending it anything, in the unit of request weights; 0 for a healthy engine
 * @param preference this daemon's dislike among engines that are otherwise alike, from 0 to 1
 */
public record EngineCandidate(String id, double pace, double penalty, double preference) {}
