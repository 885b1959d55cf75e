package org.endivehold.relay.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class FairSharesProperties {
    private static final double LARGEST = 5_000;
    private static final double SMALLEST = 200;
    private static final double RUN_MILLIS = 2_000;

    private final Map<String, Double> taken = new HashMap<>();

    private static List<String> customers(int number) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            names.add("customer-" + i);
        }
        return names;
    }

    private static double randomCost(Random random) {
        return random.nextInt(10) == 0 ? LARGEST : SMALLEST + random.nextInt(100);
    }

    /** Places a request of the customer that goes first; returns what others have to be told of it. */
    private Map.Entry<String, EngineCost> place(FairShares shares, List<String> customers, Random random, double now) {
        String first = customers.stream()
                .min(Comparator.comparingDouble(shares::counter))
                .orElseThrow();
        EngineCost cost = new EngineCost(randomCost(random), RUN_MILLIS);
        shares.charge(first, cost, now);
        taken.merge(first, cost.engineMillis(), Double::sum);
        return Map.entry(first, cost);
    }

    private double largestLag(List<String> customers) {
        double share = customers.stream()
                        .mapToDouble(name -> taken.getOrDefault(name, 0.0))
                        .sum()
                / customers.size();
        return customers.stream()
                .mapToDouble(name -> share - taken.getOrDefault(name, 0.0))
                .max()
                .orElse(0);
    }

    /** A customer with large requests, or many of them, would take the share of the others. */
    @Property(seed = "1", tries = 100)
    void noWaitingCustomerFallsBehindItsShareByMoreThanOneLargestRequest(
            @ForAll @IntRange(min = 2, max = 120) int number, @ForAll long seed) {
        taken.clear();
        Random random = new Random(seed);
        List<String> customers = customers(number);
        FairShares shares = new FairShares();
        customers.forEach(name -> shares.arrived(name, 0));
        for (int i = 0; i < 2_000; i++) {
            place(shares, customers, random, i);
            assertTrue(largestLag(customers) <= LARGEST, () -> "lag " + largestLag(customers));
        }
    }

    /** For a second two deciders do not hear of each other, and both serve the same customers first. */
    @Property(seed = "1", tries = 100)
    void twoDecidersAddAtMostWhatTheyPlaceUntilTheyMeet(
            @ForAll @IntRange(min = 2, max = 120) int number, @ForAll long seed) {
        taken.clear();
        Random random = new Random(seed);
        List<String> customers = customers(number);
        FairShares first = new FairShares();
        FairShares second = new FairShares();
        customers.forEach(name -> {
            first.arrived(name, 0);
            second.arrived(name, 0);
        });
        double apart = 0;
        for (int i = 0; i < 100; i++) {
            Map.Entry<String, EngineCost> byFirst = place(first, customers, random, i);
            Map.Entry<String, EngineCost> bySecond = place(second, customers, random, i);
            apart += byFirst.getValue().engineMillis() + bySecond.getValue().engineMillis();
            double bound = LARGEST + apart;
            assertTrue(largestLag(customers) <= bound, () -> "lag " + largestLag(customers));
        }
        for (String name : customers) {
            double missed = taken.getOrDefault(name, 0.0) - first.counter(name);
            if (missed > 0) {
                first.charge(name, new EngineCost(missed, RUN_MILLIS), 100);
            }
        }
        double lagWhenMet = largestLag(customers);
        for (int i = 0; i < 1_000; i++) {
            place(first, customers, random, 101 + i);
            assertTrue(largestLag(customers) <= Math.max(lagWhenMet, LARGEST), () -> "lag " + largestLag(customers));
        }
    }

    /** A customer that saves up its share while it is idle would keep out all others when it comes back. */
    @Property(seed = "1", tries = 100)
    void aCustomerThatComesBackIsServedLikeTheOthers(
            @ForAll @IntRange(min = 2, max = 60) int number,
            @ForAll @IntRange(max = 500) int before,
            @ForAll long seed) {
        taken.clear();
        Random random = new Random(seed);
        List<String> present = customers(number);
        FairShares shares = new FairShares();
        present.forEach(name -> shares.arrived(name, 0));
        for (int i = 0; i < before; i++) {
            place(shares, present, random, i);
        }
        int start = before + 10_000;
        shares.arrived("late", start);
        taken.clear();
        List<String> all = new ArrayList<>(present);
        all.add("late");
        for (int i = 0; i < 1_000; i++) {
            place(shares, all, random, start + i);
            double ahead = taken.getOrDefault("late", 0.0)
                    - present.stream()
                            .mapToDouble(name -> taken.getOrDefault(name, 0.0))
                            .min()
                            .orElseThrow();
            assertTrue(ahead <= 2 * LARGEST, () -> "ahead by " + ahead);
            assertTrue(largestLag(all) <= 2 * LARGEST, () -> "lag " + largestLag(all));
        }
    }

    /** A customer that has taken much could get rid of it by pausing for a moment. */
    @Example
    void aShortPauseDoesNotCancelWhatACustomerHasTaken() {
        FairShares shares = new FairShares();
        shares.arrived("steady", 0);
        shares.charge("steady", new EngineCost(100, 10), 0);
        shares.charge("large", new EngineCost(9_000, 10), 2_000);
        shares.arrived("large", 2_050);
        assertEquals(9_100, shares.counter("large"));
        assertEquals(100, shares.counter("steady"));
    }

    /** A new decider learns of running jobs customer by customer, and would place the last one behind all others. */
    @Example
    void jobsLearnedOneAfterTheOtherCountFromTheSameStart() {
        FairShares shares = new FairShares();
        for (int i = 0; i < 10; i++) {
            shares.charge("large", new EngineCost(100, 1_000), 0);
        }
        shares.charge("small", new EngineCost(100, 1_000), 200);
        assertEquals(1_000, shares.counter("large"));
        assertEquals(100, shares.counter("small"));
    }

    /** With customers that come and go, counters that are never forgotten would fill the memory. */
    @Example
    void customersThatHaveGoneAreForgotten() {
        FairShares shares = new FairShares();
        for (int i = 0; i < 10_000; i++) {
            shares.charge("customer-" + i, new EngineCost(100, 10), i * 100);
        }
        assertTrue(shares.size() <= 20, () -> shares.size() + " customers");
    }
}
