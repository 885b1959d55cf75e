package org.endivehold.relay.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Many answers without end fill the memory together, although each is bounded: the largest has to go, not a neighbour.
 */
class HeldBytesTest {
    private static final long LIMIT_BYTES = 100;

    private final HeldBytes held = new HeldBytes("test", LIMIT_BYTES);
    private final List<String> evicted = new ArrayList<>();

    private HeldBytes.Share share(String name, long bytes) {
        HeldBytes.Share share = held.open(() -> evicted.add(name));
        share.set(bytes);
        return share;
    }

    @Test
    void theLargestIsEvictedWhoeverGrows() {
        HeldBytes.Share small = share("small", 5);
        share("large", 60);
        share("medium", 30);
        assertTrue(small.set(11));
        assertEquals(List.of("large"), evicted);
        assertEquals(41, held.heldBytes());
    }

    @Test
    void aShareThatOutgrowsAllOthersEvictsItself() {
        share("sound", 50);
        HeldBytes.Share endless = share("endless", 40);
        assertFalse(endless.set(60));
        assertEquals(List.of("endless"), evicted);
        assertEquals(50, held.heldBytes());
        assertTrue(endless.set(50));
    }

    @Test
    void asManyAreEvictedAsItTakes() {
        share("a", 40);
        share("b", 45);
        HeldBytes.Share pinned = share("pinned", 10);
        pinned.pin();
        assertTrue(pinned.set(90));
        assertEquals(List.of("b", "a"), evicted);
        assertEquals(90, held.heldBytes());
        assertFalse(held.fits(11));
        assertTrue(held.fits(10));
    }

    @Test
    void whatIsPinnedStaysAndTheNextIsEvicted() {
        HeldBytes.Share pinned = share("pinned", 100);
        pinned.pin();
        assertFalse(share("new", 0).set(1));
        assertEquals(List.of("new"), evicted);
        pinned.close();
        assertEquals(0, held.heldBytes());
        assertFalse(pinned.set(1));
    }

    /** Seventy-five endless answers beside as many sound ones: all that are evicted are endless. */
    @Test
    void soundNeighboursStayWhateverTheEndlessOnesDo() {
        for (int i = 0; i < 30; i++) {
            share("sound", 1);
        }
        List<HeldBytes.Share> endless = new ArrayList<>();
        for (int i = 0; i < 75; i++) {
            endless.add(share("endless", 0));
        }
        for (int bytes = 1; bytes < 20; bytes++) {
            for (HeldBytes.Share share : endless) {
                share.set(bytes);
            }
            assertTrue(held.heldBytes() <= LIMIT_BYTES);
        }
        assertFalse(evicted.contains("sound"), evicted::toString);
    }
}
