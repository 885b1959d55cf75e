package org.endivehold.relay.share;

import java.util.function.IntPredicate;

/**
 * Chooses the rank whose request is placed next: the most urgent one that waits, but at least one placement in eight
 * goes to lower ranks while any of their requests wait.
 *
 * <p>Strict order by rank would let endless urgent requests keep out all others, whose callers would retry and be
 * refused for as long as this lasts. The minimum holds at each rank for all those below it, so with three ranks the
 * middle one cannot keep out the lowest one either.
 *
 * <p>Example: requests of ranks 2, 1 and 0 always wait. Of 64 placements 56 go to rank 2, 7 to rank 1 and 1 to rank 0.
 */
public final class RankFloor {
    /** Most placements of a rank in a row while requests of lower ranks wait; the next one is of a lower rank. */
    private static final int MAX_IN_A_ROW = 7;

    private final int[] inARow;

    /** Creates it for ranks from 0 to below a number. */
    public RankFloor(int ranks) {
        inARow = new int[ranks];
    }

    /**
     * Returns the rank whose request goes next.
     *
     * @param waits whether requests of a rank wait
     * @return the rank; -1 if none waits
     */
    public int next(IntPredicate waits) {
        int next = -1;
        for (int rank = inARow.length - 1; rank >= 0; rank--) {
            if (waits.test(rank)) {
                next = rank;
                if (inARow[rank] < MAX_IN_A_ROW) {
                    break;
                }
            }
        }
        return next;
    }

    /**
     * Notes that a request that had waited was placed.
     *
     * @param rank its rank
     * @param waits whether requests of a rank wait
     */
    public void placed(int rank, IntPredicate waits) {
        for (int above = rank + 1; above < inARow.length; above++) {
            inARow[above] = 0;
        }
        boolean lowerWaits = false;
        for (int lower = 0; lower < rank; lower++) {
            lowerWaits |= waits.test(lower);
        }
        inARow[rank] = lowerWaits ? inARow[rank] + 1 : 0;
    }
}
