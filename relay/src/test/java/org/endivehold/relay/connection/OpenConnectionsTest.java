package org.endivehold.relay.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Crowds of connections took all descriptors of a process; those of sound callers must not be closed for them. */
class OpenConnectionsTest {
    private static final int LIMIT = 8;

    private final OpenConnections open = new OpenConnections(LIMIT);
    private final List<String> evicted = new ArrayList<>();
    private double now;

    private OpenConnections.Entry open(String name, String address) {
        now++;
        return open.open(address, now, () -> evicted.add(name));
    }

    private OpenConnections.Entry open(String name, String address, OpenConnections.Use use) {
        OpenConnections.Entry entry = open(name, address);
        entry.use(use, now);
        return entry;
    }

    @Test
    void theSlowestSenderIsClosedBeforeAnyOtherConnection() {
        open("serving", "a", OpenConnections.Use.SERVING);
        open("idle", "b", OpenConnections.Use.IDLE);
        open("stalled", "c", OpenConnections.Use.STALLED);
        for (int i = 0; i < 5; i++) {
            open("slow-" + i, "d" + i);
        }
        assertEquals(List.of(), evicted);
        open("next", "e");
        assertEquals(List.of("slow-0"), evicted);
    }

    @Test
    void anUnreadResponseIsClosedBeforeAnIdleConnectionAndTheLongestIdleFirst() {
        open("idle-0", "a", OpenConnections.Use.IDLE);
        open("idle-1", "b", OpenConnections.Use.IDLE);
        open("stalled", "c", OpenConnections.Use.STALLED);
        for (int i = 0; i < 5; i++) {
            open("serving", "d" + i, OpenConnections.Use.SERVING);
        }
        open("next-0", "e", OpenConnections.Use.SERVING);
        open("next-1", "f", OpenConnections.Use.SERVING);
        assertEquals(List.of("stalled", "idle-0"), evicted);
    }

    @Test
    void ifAllRequestsAreBeingServedTheNewConnectionIsClosed() {
        for (int i = 0; i < LIMIT; i++) {
            open("serving", "a" + i, OpenConnections.Use.SERVING);
        }
        open("next", "b");
        assertEquals(List.of("next"), evicted);
        assertEquals(LIMIT, open.size());
    }

    @Test
    void anAddressThatHasHalfOfTheConnectionsLosesOneOfItsOwn() {
        open("other", "b");
        for (int i = 0; i < LIMIT / 2 + 1; i++) {
            open("crowd-" + i, "a");
        }
        assertEquals(List.of("crowd-0"), evicted);
        assertEquals(LIMIT / 2 + 1, open.size());
    }

    @Test
    void aClosedConnectionCountsNoMore() {
        for (int i = 0; i < 10 * LIMIT; i++) {
            OpenConnections.Entry entry = open("short", "a");
            entry.close();
            entry.close();
        }
        assertTrue(evicted.isEmpty());
        assertEquals(0, open.size());
    }
}
