package org.endivehold.relay.schedule;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Shares of customers in overloaded fleets of several sizes. */
class SharedFleetTest {
    private static final int SECONDS = 12;

    private static double servedShare(SharedFleet.CustomerLoad customer) {
        return (double) customer.placed / customer.asked;
    }

    private static String describe(SharedFleet.CustomerLoad customer) {
        return "asked " + customer.asked + ", placed " + customer.placed + ", refused " + customer.refused;
    }

    /** Without shares, each customer was served in proportion to what it asked for. */
    @ParameterizedTest(name = "{0} daemons, {1} engines, {2} small customers")
    @CsvSource({
        "6, 16, 20",
        "6, 16, 100",
        "73, 60, 20",
        "73, 60, 100",
        "136, 60, 100",
        "400, 200, 100",
    })
    void oneCustomerWithSixTenthsOfTheWorkDoesNotHarmTheOthers(int daemons, int engines, int small) {
        SharedFleet fleet = new SharedFleet(daemons, engines, 1);
        double work = 1.5 * fleet.capacityPerSecond();
        SharedFleet.CustomerLoad large = fleet.add("large", second -> 0.6 * work, 0);
        List<SharedFleet.CustomerLoad> others = new ArrayList<>();
        for (int i = 0; i < small; i++) {
            others.add(fleet.add("small-" + i, second -> 0.4 * work / small, 0));
        }
        fleet.runUntil(SECONDS);
        for (SharedFleet.CustomerLoad other : others) {
            assertTrue(other.refused <= 0.02 * other.asked + 1, () -> describe(other));
        }
        int placed =
                large.placed + others.stream().mapToInt(other -> other.placed).sum();
        assertTrue(placed >= 0.97 * SECONDS * fleet.capacityPerSecond(), () -> "engines idle: placed " + placed);
    }

    /** A customer that repeats a refused request at once would get more of the engines than one that waits. */
    @ParameterizedTest(name = "{0} daemons, {1} engines")
    @CsvSource({"6, 16", "73, 60", "136, 60", "400, 200"})
    void immediateRepeatsGainNothing(int daemons, int engines) {
        SharedFleet fleet = new SharedFleet(daemons, engines, 2);
        double each = fleet.capacityPerSecond();
        SharedFleet.CustomerLoad patient = fleet.add("patient", second -> each, 0);
        SharedFleet.CustomerLoad repeating = fleet.add("repeating", second -> each, 3);
        fleet.runUntil(SECONDS);
        double ratio = (double) repeating.placed / patient.placed;
        assertTrue(ratio > 0.97 && ratio < 1.03, () -> describe(repeating) + "; " + describe(patient));
    }

    /** A customer that pauses would come back with credit, and be served alone until it is used up. */
    @ParameterizedTest(name = "{0} daemons, {1} engines")
    @CsvSource({"6, 16", "73, 60", "136, 60", "400, 200"})
    void customersThatComeAndGoDoNotKeepOutTheOthers(int daemons, int engines) {
        SharedFleet fleet = new SharedFleet(daemons, engines, 3);
        double capacity = fleet.capacityPerSecond();
        SharedFleet.CustomerLoad steady = fleet.add("steady", second -> capacity, 0);
        for (int i = 0; i < 3; i++) {
            int phase = i;
            fleet.add("guest-" + i, second -> second % 9 == 3 * phase ? 2 * capacity : 0, 0);
        }
        fleet.runUntil(SECONDS);
        int placed = 0;
        for (int second = 3; second < SECONDS; second++) {
            placed += steady.placedIn(second);
        }
        // One guest at a time shares the engines, for up to 2.5 of 3 seconds, since a request waits for up to 1.5.
        double share = placed / capacity / (SECONDS - 3);
        assertTrue(share >= 0.47, () -> "share " + share);
    }

    /** A decider that froze for a moment still decides for half of the daemons, beside its successor. */
    @ParameterizedTest(name = "{0} daemons, {1} engines")
    @CsvSource({"73, 60", "136, 60", "400, 200"})
    void twoDecidersForASecondCostAtMostWhatTheyPlacedApart(int daemons, int engines) {
        SharedFleet fleet = new SharedFleet(daemons, engines, 4);
        double work = 1.5 * fleet.capacityPerSecond();
        SharedFleet.CustomerLoad large = fleet.add("large", second -> 0.6 * work, 0);
        SharedFleet.CustomerLoad small = fleet.add("small", second -> 0.4 * work, 0);
        fleet.runUntil(4);
        fleet.addDecider();
        fleet.runUntil(5);
        fleet.join();
        fleet.runUntil(SECONDS);
        double apart = fleet.capacityPerSecond();
        assertTrue(Math.abs(large.placed - small.placed) <= apart, () -> describe(large) + "; " + describe(small));
        int lastSecond = large.placedIn(SECONDS - 1) - small.placedIn(SECONDS - 1);
        assertTrue(Math.abs(lastSecond) <= 0.1 * apart, () -> "differ by " + lastSecond);
    }

    /** A new decider that knew of no shares would let the largest customer start over. */
    @ParameterizedTest(name = "{0} daemons, {1} engines")
    @CsvSource({"73, 60", "136, 60", "400, 200"})
    void aNewDeciderKeepsTheShares(int daemons, int engines) {
        SharedFleet fleet = new SharedFleet(daemons, engines, 5);
        double work = 1.5 * fleet.capacityPerSecond();
        SharedFleet.CustomerLoad large = fleet.add("large", second -> 0.6 * work, 0);
        SharedFleet.CustomerLoad small = fleet.add("small", second -> 0.4 * work, 0);
        fleet.runUntil(5);
        fleet.replaceDecider();
        fleet.runUntil(SECONDS);
        assertTrue(servedShare(small) > servedShare(large), () -> describe(large) + "; " + describe(small));
        for (int second = 5; second < SECONDS; second++) {
            int difference = Math.abs(large.placedIn(second) - small.placedIn(second));
            assertTrue(
                    difference <= 0.1 * fleet.capacityPerSecond(), () -> "differ by " + difference + " in one second");
        }
    }
}
