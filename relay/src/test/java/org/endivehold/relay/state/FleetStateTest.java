package org.endivehold.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.Set;
import java.util.TreeSet;
import org.endivehold.relay.limit.KnownDaemons;
import org.endivehold.relay.limit.UpstreamAvailability;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.limit.UpstreamRateLimits;
import org.junit.jupiter.api.Test;

class FleetStateTest {
    private double sinceOutage = Double.POSITIVE_INFINITY;
    private double sinceRestore = Double.POSITIVE_INFINITY;
    private long era;
    private long revision;
    private final FleetState state = new FleetState(
            new PlainTextDecoder(),
            () -> 0,
            new UpstreamAvailability(new UpstreamHealth(), new UpstreamRateLimits(KnownDaemons.only("d"))),
            new CopyAges() {
                @Override
                public double sinceOutageMillis() {
                    return sinceOutage;
                }

                @Override
                public double sinceRestoreMillis() {
                    return sinceRestore;
                }

                @Override
                public double sinceOperatorEntriesHeardMillis() {
                    return 0;
                }
            });

    private void write(String key, String value) {
        state.written(new SharedStore.Item(key, Buffer.buffer(value), new StorePosition(era, ++revision)));
    }

    private Set<String> usable() {
        Set<String> ids = new TreeSet<>();
        state.upstreams("service").forEach(upstream -> ids.add(upstream.id()));
        return ids;
    }

    @Test
    void leavingUpstreamsAndThoseInEvacuatedZonesAreNotUsable() {
        write("s/1", "a ready");
        write("s/2", "b ready");
        write("s/3", "a leaving");
        assertEquals(Set.of("1", "2"), usable());
        write("o/out/b", "{}");
        assertEquals(Set.of("1"), usable());
        state.removed("o/out/b");
        write("s/1", "a leaving");
        assertEquals(Set.of("2"), usable());
        state.removed("s/2");
        assertEquals(Set.of(), usable());
    }

    @Test
    void anUnreadableEntryRemovesOnlyItsUpstream() {
        write("s/1", "a ready");
        write("s/2", "a ready");
        write("s/2", "nonsense");
        assertEquals(Set.of("1"), usable());
    }

    /** A decoder that fails in its own way on one value: that value names nothing, the others hold. */
    @Test
    void aValueThatTheDecoderCannotBearIsUnreadable() {
        write("s/1", "a ready");
        write("s/2", "a ready");
        write("s/2", PlainTextDecoder.UNBEARABLE);
        assertEquals(Set.of("1"), usable());
        write("o/config", "5");
        write("o/config", PlainTextDecoder.UNBEARABLE);
        assertEquals(5, state.table().orElseThrow().version());
    }

    @Test
    void theVersionInForceNeverDecreases() {
        write("o/config", "5");
        write("o/config", "4");
        write("o/config", "unreadable");
        assertEquals(5, state.table().orElseThrow().version());
        write("o/config", "6");
        assertEquals(6, state.table().orElseThrow().version());
    }

    @Test
    void entriesThatLapsedInAnOutageAreUsedUntilTheGracePeriodEnds() {
        write("s/1", "a ready");
        write("s/2", "a ready");
        write("s/3", "a leaving");
        sinceOutage = 0;
        state.removed("s/1");
        state.removed("s/2");
        assertEquals(Set.of("1", "2"), usable());
        sinceOutage = 500;
        write("s/2", "a ready");
        assertEquals(Set.of("1", "2"), usable());
        sinceOutage = FleetState.LAPSE_GRACE_MILLIS;
        assertEquals(Set.of("2"), usable());
    }

    @Test
    void anEntryThatVanishesWithoutAnOutageIsRemovedAtOnce() {
        write("s/1", "a ready");
        sinceOutage = FleetState.LAPSE_GRACE_MILLIS;
        state.removed("s/1");
        assertEquals(Set.of(), usable());
    }

    /** The copy was taken before the upstream began to leave and before the zone was evacuated. */
    @Test
    void aRestoredStoreDoesNotBringBackWhatWasLeavingOrEvacuated() {
        write("s/1", "a leaving 7");
        write("s/2", "b ready");
        write("s/3", "a ready");
        write("o/out/b", "{}");
        assertEquals(Set.of("3"), usable());
        era++;
        sinceRestore = 0;
        sinceOutage = 0;
        state.removed("o/out/b");
        write("s/1", "a ready 7");
        assertEquals(Set.of("3"), usable());
        write("o/out/b", "{}");
        sinceRestore = FleetState.LAPSE_GRACE_MILLIS;
        assertEquals(Set.of("3"), usable(), "the operators wrote the evacuation again");
        write("s/1", "a ready 8");
        assertEquals(Set.of("1", "3"), usable(), "a later start with the same id is not leaving");
    }

    /** The zone was taken back before the copy, which still held the evacuation, or the operators do so right after. */
    @Test
    void anEvacuationThatTheRestoredStoreLacksEndsAfterTheGracePeriod() {
        write("s/2", "b ready");
        write("o/out/b", "{}");
        era++;
        sinceRestore = 0;
        state.removed("o/out/b");
        assertEquals(Set.of(), usable());
        sinceRestore = FleetState.LAPSE_GRACE_MILLIS;
        assertEquals(Set.of("2"), usable());
    }

    @Test
    void anUpstreamThatSaysThatItIsLeavingIsNotUsedUntilItStartsAgain() {
        write("s/1", "a ready 7");
        assertTrue(state.markLeaving("1", 7));
        assertFalse(state.markLeaving("1", 7), "no news");
        assertEquals(Set.of(), usable());
        sinceOutage = 0;
        state.removed("s/1");
        write("s/1", "a ready 7");
        assertEquals(Set.of(), usable());
        write("s/1", "a ready 8");
        assertEquals(Set.of("1"), usable());
    }

    @Test
    void theVersionInForceNeverDecreasesOverARestore() {
        write("o/config", "5");
        era++;
        revision = 0;
        write("o/config", "4");
        assertEquals(5, state.table().orElseThrow().version());
        write("o/config", "6");
        assertEquals(6, state.table().orElseThrow().version());
    }

    @Test
    void isCompleteWithAConfigurationAndTheListOfUpstreams() {
        assertFalse(state.complete());
        write("o/config", "1");
        assertFalse(state.complete());
        state.current(new WatchedPrefix(null, null, "s/", () -> 0, null, state));
        assertTrue(state.complete());
    }
}
