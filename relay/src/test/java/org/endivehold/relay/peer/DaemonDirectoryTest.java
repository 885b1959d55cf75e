package org.endivehold.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DaemonDirectoryTest {
    private static DaemonEntry entry(int number, double capacity) {
        return new DaemonEntry("d" + number + "#1", "10.0.0." + number, 7_000, "zone-" + number % 3, capacity);
    }

    private static DaemonDirectory fleet(int size, int self) {
        DaemonDirectory directory = new DaemonDirectory(entry(self, capacity(self)));
        IntStream.range(0, size).forEach(i -> directory.recordSeen(entry(i, capacity(i)), 0));
        return directory;
    }

    /** Every fifth daemon has a high capacity. */
    private static double capacity(int number) {
        return number % 5 == 0 ? 1.5 : 0.36;
    }

    @ParameterizedTest(name = "{0} daemons: {1} coordinators, full mesh {2}")
    @CsvSource({"1, 1, true", "6, 6, true", "9, 9, true", "10, 3, false", "60, 3, false", "400, 3, false"})
    void onlyALargeFleetLimitsTheNumberOfCoordinators(int size, int coordinators, boolean fullMesh) {
        DaemonDirectory directory = fleet(size, 0);
        assertEquals(coordinators, directory.coordinators().size());
        assertEquals(fullMesh, directory.usesFullMesh());
    }

    @Test
    void allDaemonsSelectTheSameStrongCoordinatorsInDifferentZones() {
        List<DaemonEntry> coordinators = fleet(60, 0).coordinators();
        for (int self = 1; self < 60; self++) {
            assertEquals(coordinators, fleet(60, self).coordinators());
        }
        assertTrue(coordinators.stream().allMatch(c -> c.capacity() > 1), coordinators::toString);
        assertEquals(3, coordinators.stream().map(DaemonEntry::zone).distinct().count());
    }

    /** A daemon restarts at its address; late reports of its earlier start must not replace the new entry. */
    @Test
    void atOneAddressOnlyTheNewestStartIsKnown() {
        DaemonDirectory directory = fleet(2, 0);
        DaemonEntry again = new DaemonEntry("d1#2", "10.0.0.1", 7_000, "zone-1", 1);
        directory.takeDueAnnouncements(1);
        directory.recordSeen(again, 10);
        assertEquals(Map.of(again, 0L), directory.takeDueAnnouncements(10), "a change has to be announced");
        assertFalse(directory.names().contains("d1#1"));
        directory.recordSeen(entry(1, 1), 5);
        assertTrue(directory.takeDueAnnouncements(11).isEmpty(), "a late report of the earlier start is ignored");
        assertTrue(directory.names().contains("d1#2"));
    }

    /** The whole list went to each daemon whenever one of them was new: 25 KB to each of 400. */
    @Test
    void betweenTwoIntervalsOnlyChangedDaemonsAreAnnounced() {
        DaemonDirectory directory = fleet(400, 0);
        assertEquals(400, directory.takeDueAnnouncements(0).size());
        assertTrue(directory.takeDueAnnouncements(700).isEmpty());
        DaemonEntry added = entry(400, 1);
        directory.recordSeen(added, 800);
        directory.refresh("d7#1", 900);
        directory.stopped("d8#1", 950);
        assertEquals(Map.of(added, 600L), directory.takeDueAnnouncements(1_400));
        assertEquals(
                400,
                directory
                        .takeDueAnnouncements(DaemonDirectory.ANNOUNCE_INTERVAL_MILLIS)
                        .size());
    }

    /** Daemons keep reporting a dead daemon to each other; these reports must not prevent its expiry. */
    @Test
    void indirectReportsDoNotKeepADaemonAlive() {
        DaemonDirectory directory = fleet(3, 0);
        long late = DaemonDirectory.EXPIRY_MILLIS + 1;
        long age = directory.ages(late).get(entry(1, capacity(1)));
        directory.recordSeen(entry(1, capacity(1)), late - age);
        directory.refresh("d2#1", late);
        directory.expire(late);
        assertEquals(
                List.of("d0#1", "d2#1"), directory.names().stream().sorted().toList());
    }

    /** For a minute nothing changes, and a daemon learns of the others from one coordinator only; none may expire. */
    @Test
    void membersOfALargeFleetDoNotExpireWhileNothingChanges() {
        DaemonDirectory coordinator = fleet(60, 0);
        DaemonDirectory nonCoordinator = fleet(60, 59);
        for (long now = 0; now <= 2 * DaemonDirectory.EXPIRY_MILLIS; now += 700) {
            for (String name : coordinator.names()) {
                coordinator.refresh(name, now);
            }
            long at = now;
            coordinator.takeDueAnnouncements(now).forEach((daemon, age) -> nonCoordinator.recordSeen(daemon, at - age));
            nonCoordinator.expire(now);
            assertEquals(60, nonCoordinator.names().size(), "at " + now);
        }
    }
}
