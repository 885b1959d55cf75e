package org.endivehold.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivehold.membership.MembershipFleet.Network;
import org.endivehold.misc.Revision;

class MembershipProperties {
    private static final MembershipTimings TIMINGS = new MembershipTimings(500, 200, 3, 4);
    private static final long JOIN_MILLIS = 15_000;
    private static final long MEASURE_MILLIS = 10_000;
    private static final long SETTLE_MILLIS = 60_000;

    @Property(seed = "201", tries = 25)
    void aDeathIsLearnedByAllAndNobodyElseIsCondemned(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 12) int size, @ForAll @IntRange(max = 10) int loss) {
        MembershipFleet fleet = new MembershipFleet(size, TIMINGS, new Network(loss / 100.0, 1, 20), seed);
        fleet.run(JOIN_MILLIS);
        assertView(fleet, size, -1);
        fleet.kill(1);
        fleet.run(SETTLE_MILLIS);
        assertView(fleet, size, 1);
        assertTrue(fleet.falseDeaths() <= size, () -> "false deaths: " + fleet.falseDeaths());
    }

    @Property(seed = "202", tries = 25)
    void aPausedDaemonBlamesNobodyAndComesBack(
            @ForAll long seed,
            @ForAll @IntRange(min = 3, max = 10) int size,
            @ForAll @IntRange(min = 1, max = 20_000) int pause) {
        MembershipFleet fleet = new MembershipFleet(size, TIMINGS, new Network(0, 1, 20), seed);
        fleet.run(JOIN_MILLIS);
        fleet.pause(1, pause);
        fleet.run(pause);
        fleet.run(2 * TIMINGS.periodMillis());
        for (int i = 0; i < size; i++) {
            assertTrue(fleet.view(1, i).compareTo(Member.State.SUSPECT) < 0, "blames " + i);
        }
        fleet.run(SETTLE_MILLIS);
        assertView(fleet, size, -1);
        assertEquals(0, fleet.falseDeaths());
    }

    @Property(seed = "203", tries = 15)
    void newsOfAConfigurationReachesAll(@ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int size) {
        MembershipFleet fleet = new MembershipFleet(size, TIMINGS, new Network(0.02, 1, 20), seed);
        fleet.run(JOIN_MILLIS);
        fleet.protocol(0).announceConfiguration(new Revision(7), "digest");
        fleet.run(10 * TIMINGS.periodMillis());
        for (int i = 0; i < size; i++) {
            Member seen = fleet.protocol(i).members().iterator().next();
            assertEquals(new Revision(7), seen.revision());
        }
    }

    @Example
    void aNewcomerIsKnownEverywhere() {
        MembershipFleet fleet = new MembershipFleet(20, TIMINGS, new Network(0, 1, 5), 1);
        fleet.run(JOIN_MILLIS);
        fleet.add(99);
        fleet.run(10 * TIMINGS.periodMillis());
        assertView(fleet, 21, -1);
    }

    @Example
    void costPerDaemonDoesNotGrowWithTheFleet() {
        double[] perSecond = new double[3];
        int[] sizes = {8, 50, 400};
        for (int i = 0; i < sizes.length; i++) {
            MembershipFleet fleet = new MembershipFleet(sizes[i], TIMINGS, new Network(0, 1, 2), 5);
            fleet.run(JOIN_MILLIS);
            long before = fleet.messages();
            fleet.run(MEASURE_MILLIS);
            perSecond[i] = (fleet.messages() - before) * 1000.0 / MEASURE_MILLIS / sizes[i];
        }
        assertTrue(perSecond[2] < perSecond[0] * 1.1, () -> perSecond[0] + " to " + perSecond[2]);
    }

    private static void assertView(MembershipFleet fleet, int size, int dead) {
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size && i != dead; j++) {
                Member.State state = fleet.view(i, j);
                assertEquals(j == dead, state == Member.State.DEAD, i + " sees " + j + " as " + state);
            }
        }
    }
}
