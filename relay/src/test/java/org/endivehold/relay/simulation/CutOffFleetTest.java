package org.endivehold.relay.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.endivehold.relay.simulation.CutOffFleet.Cut;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Daemons that lose their links to all upstreams for 12 s, in fleets of 6 and 95. From 3 s after that on, their
 * callers' first attempts are served as often as those of the others, within a twentieth, and no daemon gets all of
 * their load.
 */
class CutOffFleetTest {
    private static final double CUT_AT = 5_000;
    private static final double CUT_ENDS = 17_000;
    private static final double STABLE_MILLIS = 3_000;
    private static final double DAY_MILLIS = 24_000;
    private static final double LEAST_RELATIVE_SHARE = 0.95;

    private static CutOffFleet fleet(int daemons, Cut cut, double lossRate, long seed) {
        return new CutOffFleet(daemons, daemons > 9 ? 135 : 23, cut, lossRate, seed);
    }

    private static double ratePerDaemon(int daemons) {
        return daemons > 9 ? 2 : 5;
    }

    /** Returns the daemons that are cut off: some, those of one zone of three, or all but one. */
    private static List<Integer> chosen(String which, int daemons) {
        return switch (which) {
            case "one" -> List.of(0);
            case "half" -> IntStream.range(0, daemons / 2).boxed().toList();
            case "zone" ->
                IntStream.range(0, daemons).filter(i -> i % 3 == 0).boxed().toList();
            case "all but one" -> IntStream.range(0, daemons - 1).boxed().toList();
            case "all" -> IntStream.range(0, daemons).boxed().toList();
            default -> throw new IllegalArgumentException(which);
        };
    }

    private static List<Integer> others(List<Integer> cutOff, int daemons) {
        List<Integer> others =
                new ArrayList<>(IntStream.range(0, daemons).boxed().toList());
        others.removeAll(cutOff);
        return others;
    }

    @ParameterizedTest(name = "{0} daemons, {1}, {2}, lost messages {3}")
    @CsvSource({
        "6,  one,         SILENT,  0,   1",
        "6,  half,        SILENT,  0.2, 2",
        "6,  zone,        REFUSED, 0,   3",
        "6,  all but one, SILENT,  0,   4",
        "6,  all but one, REFUSED, 0.2, 5",
        "95, one,         SILENT,  0,   6",
        "95, half,        SILENT,  0.2, 7",
        "95, half,        REFUSED, 0,   8",
        "95, zone,        SILENT,  0,   9",
        "95, all but one, SILENT,  0,   10",
    })
    void cutOffDaemonsServeAsWellAsTheOthers(int daemons, String which, Cut cut, double lossRate, long seed) {
        List<Integer> cutOff = chosen(which, daemons);
        CutOffFleet fleet = fleet(daemons, cut, lossRate, seed)
                .cutOff(cutOff, CUT_AT, CUT_ENDS)
                .load(ratePerDaemon(daemons), DAY_MILLIS)
                .run(DAY_MILLIS);
        double from = CUT_AT + STABLE_MILLIS;
        double share = fleet.servedShare(cutOff, from, CUT_ENDS);
        double uncut = fleet.servedShare(others(cutOff, daemons), from, CUT_ENDS);
        assertTrue(share >= LEAST_RELATIVE_SHARE * uncut, () -> share + " served, " + uncut + " at the others");
    }

    /** One daemon of a zone got all that the others of the zone could not deliver, if only the nearest was asked. */
    @ParameterizedTest
    @CsvSource({"95, 11", "95, 12"})
    void theLoadOfAZoneIsSpreadOverTheOthers(int daemons, long seed) {
        List<Integer> zone = chosen("zone", daemons);
        List<Integer> cutOff = zone.subList(1, zone.size());
        CutOffFleet fleet = fleet(daemons, Cut.REFUSED, 0, seed)
                .cutOff(cutOff, CUT_AT, CUT_ENDS)
                .load(ratePerDaemon(daemons), DAY_MILLIS)
                .run(DAY_MILLIS);
        assertTrue(fleet.mostRunning() <= 40, () -> fleet.mostRunning() + " requests at one daemon");
    }

    @ParameterizedTest
    @CsvSource({"6, half, SILENT, 13", "95, zone, REFUSED, 14"})
    void requestsAreSentFromWhereTheyComeSomeTimeAfterTheLinksAreBack(int daemons, String which, Cut cut, long seed) {
        List<Integer> cutOff = chosen(which, daemons);
        CutOffFleet fleet = fleet(daemons, cut, 0, seed)
                .cutOff(cutOff, CUT_AT, CUT_ENDS)
                .load(ratePerDaemon(daemons), DAY_MILLIS)
                .run(DAY_MILLIS);
        assertEquals(1, fleet.forwardedShare(cutOff, CUT_AT + STABLE_MILLIS, CUT_ENDS));
        assertEquals(0, fleet.forwardedShare(cutOff, CUT_ENDS + STABLE_MILLIS, DAY_MILLIS));
        assertTrue(fleet.servedShare(cutOff, CUT_ENDS, DAY_MILLIS - 1_000) >= LEAST_RELATIVE_SHARE);
    }

    /** A neighbour that is dead or cut off itself costs an offer, not the request. */
    @ParameterizedTest
    @CsvSource({"6, 15", "95, 16"})
    void daemonsThatAreKilledMeanwhileCostNoRequest(int daemons, long seed) {
        List<Integer> cutOff = chosen("half", daemons);
        CutOffFleet fleet = fleet(daemons, Cut.SILENT, 0, seed)
                .cutOff(cutOff, CUT_AT, CUT_ENDS)
                .kill(daemons - 1, 9_000)
                .kill(daemons - 2, 10_000)
                .load(ratePerDaemon(daemons), DAY_MILLIS)
                .run(DAY_MILLIS);
        assertTrue(fleet.servedShare(cutOff, CUT_AT + STABLE_MILLIS, CUT_ENDS) >= LEAST_RELATIVE_SHARE);
    }

    /** No daemon reaches anything: callers are refused in a moment, not after timeouts. */
    @ParameterizedTest
    @CsvSource({"6, 17", "95, 18"})
    void requestsThatNoDaemonCanDeliverAreRefusedAtOnce(int daemons, long seed) {
        List<Integer> all = chosen("all", daemons);
        CutOffFleet fleet = fleet(daemons, Cut.SILENT, 0, seed)
                .cutOff(all, CUT_AT, CUT_ENDS)
                .load(ratePerDaemon(daemons), DAY_MILLIS)
                .run(DAY_MILLIS);
        double longest = fleet.longestMillis(all, CUT_AT + STABLE_MILLIS, CUT_ENDS - 1_000);
        assertTrue(longest <= 50, () -> longest + " ms");
    }
}
