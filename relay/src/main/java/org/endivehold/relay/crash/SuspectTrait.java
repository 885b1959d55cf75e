package org.endivehold.relay.crash;

import java.util.List;

/**
 * What one daemon knows against a trait, as it is exchanged between daemons. Merging it is idempotent and commutative:
 * the crashes are united, and the greater number of trials is taken.
 *
 * @param trait the trait
 * @param crashes upstreams that ended while an answer to a request with it was beginning
 * @param trials requests with it that were let through since it was barred
 */
public record SuspectTrait(RequestTrait trait, List<Crash> crashes, int trials) {
    /** Keeps an immutable copy of the crashes. */
    public SuspectTrait {
        crashes = List.copyOf(crashes);
    }

    /**
     * The end of an upstream.
     *
     * @param upstream the start of the upstream that ended
     * @param ageMillis time since it was recorded, in milliseconds
     */
    public record Crash(UpstreamStart upstream, double ageMillis) {}
}
