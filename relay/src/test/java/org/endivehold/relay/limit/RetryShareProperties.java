package org.endivehold.relay.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RetryShareProperties {
    private static final double RATIO = 0.2;
    private static final double SLACK = 100;
    private static final double WINDOW = 10_000;

    @Property(seed = "1", tries = 60)
    void retriesOfAllDaemonsStayWithinTheBudget(@ForAll @IntRange(min = 1, max = 120) int daemons, @ForAll long seed) {
        Random random = new Random(seed);
        List<RetryShare> shares = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            shares.add(new RetryShare(RATIO, SLACK, WINDOW));
        }
        int requests = 0;
        int retries = 0;
        for (double now = 0; now < WINDOW * 0.9; now += 5) {
            RetryShare share = shares.get(random.nextInt(daemons));
            share.recordRequest("service", now);
            requests++;
            while (share.tryTake("service", daemons, now)) {
                retries++;
            }
        }
        double allowed = RATIO * requests + SLACK;
        int taken = retries;
        assertTrue(taken <= allowed, () -> taken + " of " + allowed);
    }
}
