package org.endivehold.relay.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Guards against daemons with different views of the fleet together exceeding the bound for a cold upstream. */
class ColdLimitProperties {
    private static List<String> names(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("daemon-" + i);
        }
        return names;
    }

    @Property(seed = "1", tries = 300)
    void sharesOfDaemonsWithTheSameViewAddUpToAtMostTheBound(
            @ForAll @IntRange(min = 1, max = 400) int daemons, @ForAll @DoubleRange(min = 2, max = 200) double bound) {
        List<String> names = names(daemons);
        int sum = 0;
        for (String name : names) {
            sum += new ColdLimit(name).share("upstream", bound, names, 0);
        }
        int total = sum;
        assertTrue(total <= bound, () -> total + " for " + daemons + " daemons of " + bound);
    }

    @Property(seed = "2", tries = 300)
    void daemonsThatDoNotKnowOneOrTwoOthersStayBelowTheBound(
            @ForAll @IntRange(min = 4, max = 400) int daemons,
            @ForAll @DoubleRange(min = 5, max = 200) double bound,
            @ForAll long seed) {
        List<String> names = names(daemons);
        Random random = new Random(seed);
        int sum = 0;
        for (String name : names) {
            List<String> view = new ArrayList<>(names);
            for (int missed = 0; missed < 2; missed++) {
                String other = view.get(random.nextInt(view.size()));
                if (!other.equals(name)) {
                    view.remove(other);
                }
            }
            sum += new ColdLimit(name).share("upstream", bound, view, 2);
        }
        int total = sum;
        assertTrue(total <= bound, () -> total + " for " + daemons + " daemons of " + bound);
    }

    @Property(seed = "3", tries = 50)
    void noWindowOfASecondHasMoreThanTheShare(@ForAll @IntRange(min = 1, max = 40) int bound, @ForAll long seed) {
        ColdLimit limit = new ColdLimit("daemon-0");
        List<String> names = names(1);
        Random random = new Random(seed);
        List<Double> sent = new ArrayList<>();
        double now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextDouble() * 30;
            if (limit.allows("upstream", bound, names, 0, now)) {
                limit.recordSent("upstream", now);
                sent.add(now);
            }
        }
        for (double start : sent) {
            long inSecond =
                    sent.stream().filter(t -> t >= start && t < start + 1_000).count();
            assertTrue(inSecond <= bound);
        }
    }
}
