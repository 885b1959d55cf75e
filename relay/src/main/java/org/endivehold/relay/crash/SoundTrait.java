package org.endivehold.relay.crash;

/**
 * A trait of a request that an upstream has answered without ending.
 *
 * @param trait the trait
 * @param ageMillis time since the newest such answer, in milliseconds
 */
public record SoundTrait(RequestTrait trait, double ageMillis) {}
