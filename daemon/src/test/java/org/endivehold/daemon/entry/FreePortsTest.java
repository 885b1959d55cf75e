package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Two daemons that got the same port once sent a caller's request to the peers' port of the other. */
class FreePortsTest {
    private static final int COUNT = 200;

    @Test
    void noPortIsReturnedTwice() throws IOException {
        FreePorts ports = FreePorts.find(COUNT);
        Set<Integer> seen = new HashSet<>();
        for (int i = 0; i < COUNT; i++) {
            seen.add(ports.next());
        }
        assertEquals(COUNT, seen.size());
    }
}
