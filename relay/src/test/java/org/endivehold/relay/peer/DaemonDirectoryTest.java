package org.endivehold.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
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
        IntStream.range(0, size).forEach(i -> directory.heard(entry(i, capacity(i)), 0));
        return directory;
    }

    /** Every fifth daemon is a strong one. */
    private static double capacity(int number) {
        return number % 5 == 0 ? 1.5 : 0.36;
    }

    @ParameterizedTest(name = "{0} daemons: {1} keepers, small {2}")
    @CsvSource({"1, 1, true", "6, 6, true", "9, 9, true", "10, 3, false", "60, 3, false", "400, 3, false"})
    void aLargeFleetHasAFewKeepers(int size, int keepers, boolean small) {
        DaemonDirectory directory = fleet(size, 0);
        assertEquals(keepers, directory.keepers().size());
        assertEquals(small, directory.small());
    }

    @Test
    void everybodyFindsTheSameKeepersAndTheyAreStrongAndApart() {
        List<DaemonEntry> keepers = fleet(60, 0).keepers();
        for (int self = 1; self < 60; self++) {
            assertEquals(keepers, fleet(60, self).keepers());
        }
        assertTrue(keepers.stream().allMatch(k -> k.capacity() > 1), keepers::toString);
        assertEquals(3, keepers.stream().map(DaemonEntry::zone).distinct().count());
    }

    /** Pattern: a daemon starts again at its address. */
    @Test
    void atOneAddressOnlyTheNewestStartIsKnown() {
        DaemonDirectory directory = fleet(2, 0);
        DaemonEntry again = new DaemonEntry("d1#2", "10.0.0.1", 7_000, "zone-1", 1);
        directory.tellAgain(1);
        directory.heard(again, 10);
        assertTrue(directory.tellAgain(10), "news");
        assertFalse(directory.names().contains("d1#1"));
        directory.heard(entry(1, 1), 5);
        assertFalse(directory.tellAgain(11), "older news of the earlier start");
        assertTrue(directory.names().contains("d1#2"));
    }

    /** Pattern: daemons tell each other of one that is gone; their talk does not keep it alive. */
    @Test
    void hearsayDoesNotKeepADaemonAlive() {
        DaemonDirectory directory = fleet(3, 0);
        long late = DaemonDirectory.REMEMBER_MILLIS + 1;
        long age = directory.ages(late).get(entry(1, capacity(1)));
        directory.heard(entry(1, capacity(1)), late - age);
        directory.heardAgain("d2#1", late);
        directory.expire(late);
        assertEquals(
                List.of("d0#1", "d2#1"), directory.names().stream().sorted().toList());
    }

    /** Pattern: a minute in which nothing changes; a daemon hears of the others from a keeper only. */
    @Test
    void aLargeFleetStaysKnownThoughNothingChanges() {
        DaemonDirectory keeper = fleet(60, 0);
        DaemonDirectory leaf = fleet(60, 59);
        for (long now = 0; now <= 2 * DaemonDirectory.REMEMBER_MILLIS; now += 700) {
            for (String name : keeper.names()) {
                keeper.heardAgain(name, now);
            }
            if (keeper.tellAgain(now)) {
                long at = now;
                keeper.ages(now).forEach((daemon, age) -> leaf.heard(daemon, at - age));
            }
            leaf.expire(now);
            assertEquals(60, leaf.names().size(), "at " + now);
        }
    }
}
