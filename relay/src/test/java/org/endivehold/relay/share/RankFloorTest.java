package org.endivehold.relay.share;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RankFloorTest {
    private final RankFloor floor = new RankFloor(3);

    /** Endless urgent requests would keep out all others. */
    @Test
    void oneOfEightPlacementsGoesToLowerRanksAtEachRank() {
        int[] placed = new int[3];
        for (int i = 0; i < 64; i++) {
            int rank = floor.next(any -> true);
            floor.placed(rank, any -> true);
            placed[rank]++;
        }
        assertArrayEquals(new int[] {1, 7, 56}, placed);
    }

    /** A lower rank that has nothing that may be tried must not keep engines idle. */
    @Test
    void aRankWithoutRequestsIsPassedOver() {
        for (int i = 0; i < 20; i++) {
            floor.placed(2, any -> true);
            assertEquals(2, floor.next(rank -> rank == 2));
        }
        assertEquals(0, floor.next(rank -> rank != 1));
        assertEquals(-1, floor.next(any -> false));
    }

    /** Urgent placements that kept nobody waiting would let a lower request go before the next urgent one. */
    @Test
    void placementsWhileNoLowerRankWaitsDoNotCount() {
        for (int i = 0; i < 20; i++) {
            floor.placed(2, rank -> rank == 2);
        }
        assertEquals(2, floor.next(any -> true));
    }
}
