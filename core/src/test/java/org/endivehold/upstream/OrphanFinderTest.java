package org.endivehold.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.UpstreamName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OrphanFinderTest {
    private static final UpstreamName ENGINE = new UpstreamName("e1");
    private static final ResourceOwner OWNER = new ResourceOwner(new HostId("a"), new Incarnation(1));
    private static final CacheHandle CACHE = new CacheHandle(ENGINE, "c1", 100);

    private static EngineLoad load() {
        List<EngineLoad.HeldCache> caches = List.of(new EngineLoad.HeldCache(CACHE.id(), OWNER, CACHE.tokens()));
        return new EngineLoad(new BootNumber(1), false, 8, 1_000, 100, 0, 0, Set.of(), List.of(), caches, 0);
    }

    /** Guards against caches that occupy engine memory for good because their daemon died during a split prompt. */
    @ParameterizedTest(name = "ended {0}, after {1} ms: {2} released")
    @CsvSource({"true, 0, 0", "true, 14999, 0", "true, 15000, 1", "false, 15000, 0", "false, 600000, 0"})
    void cacheIsReleasedAfterTheGracePeriodOfItsOwner(boolean ended, long after, int expected) {
        OrphanFinder finder = new OrphanFinder();
        finder.find(ENGINE, load(), owner -> ended, 10);
        List<CacheHandle> found = finder.find(ENGINE, load(), owner -> ended, 10 + after);
        assertEquals(expected == 1 ? List.of(CACHE) : List.of(), found);
    }

    /** Guards against the release of caches of a live daemon whose lease expired and that registered again. */
    @Test
    void gracePeriodRestartsWhenTheOwnerIsBack() {
        OrphanFinder finder = new OrphanFinder();
        finder.find(ENGINE, load(), owner -> true, 0);
        finder.find(ENGINE, load(), owner -> false, 9_000);
        assertEquals(List.of(), finder.find(ENGINE, load(), owner -> true, 16_000));
        assertEquals(List.of(CACHE), finder.find(ENGINE, load(), owner -> true, 31_000));
    }
}
