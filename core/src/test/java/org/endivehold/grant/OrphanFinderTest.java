package org.endivehold.grant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.EngineOrder;
import org.endivehold.upstream.StreamOwner;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OrphanFinderTest {
    private static final UpstreamName ENGINE = new UpstreamName("e1");
    private static final Epoch EPOCH = new Epoch(1);
    private static final StreamOwner OWNER = new StreamOwner(new HostId("a"), new Incarnation(1));

    @ParameterizedTest
    @CsvSource({"true, 0, 0", "true, 1999, 0", "true, 2000, 1", "false, 2000, 0", "false, 60000, 0"})
    void aCacheWaitsForItsOwnGrace(boolean ended, long after, int expected) {
        OrphanFinder finder = new OrphanFinder();
        List<EngineLoad.HeldCache> caches = List.of(new EngineLoad.HeldCache("c1", OWNER, 100));
        EngineLoad load = new EngineLoad(new BootNumber(1), false, 8, 1_000, 100, 0, 0, Set.of(), List.of(), caches, 0);
        finder.find(ENGINE, load, owner -> ended, EPOCH, 10);
        List<EngineOrder> orders = finder.find(ENGINE, load, owner -> ended, EPOCH, 10 + after);
        assertEquals(expected, orders.size());
    }
}
