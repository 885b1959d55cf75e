package org.endivehold.relay.connection;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Limits that take all descriptors would leave none for upstreams, peers and the store. */
class ConnectionLimitsTest {
    @Test
    void descriptorsAreLeftForUpstreamsAndTheStore() {
        for (int descriptors : new int[] {300, 2_069, 4_100}) {
            ConnectionLimits limits = ConnectionLimits.of(descriptors, 282L << 20, 120L << 20);
            int taken = limits.callers() + limits.peers() + limits.readiness() + limits.metrics();
            assertTrue(taken < descriptors - 100, descriptors + ": " + taken);
        }
    }

    @Test
    void theSmallestHostHoldsThePeersOfTheLargestFleet() {
        assertTrue(ConnectionLimits.of(2_069, 282L << 20, 120L << 20).peers() > 400);
    }
}
