package org.endivehold.relay.state;

/**
 * A point in the history of the store.
 *
 * <p>A store that is restored from an older copy starts a new era: its revision falls back, and the same numbers are
 * given out again for other changes. Revisions are therefore comparable only within an era, and any point of a newer
 * era is later than all points of an older one. Example: after a restore, revision 90 of era 2 is later than revision
 * 130 of era 1.
 *
 * @param era number of restores before this point
 * @param revision revision within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Earlier than every point of the store's history. */
    public static final StorePosition NONE = new StorePosition(-1, -1);

    @Override
    public int compareTo(StorePosition other) {
        int eras = Long.compare(era, other.era);
        return eras == 0 ? Long.compare(revision, other.revision) : eras;
    }

    /** The methods that the compiler generates for records link method handles, which takes time at a start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof StorePosition that && era == that.era && revision == that.revision;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(era) + Long.hashCode(revision);
    }

    /** Returns whether this point is later than another. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns the later of two points. */
    public static StorePosition latest(StorePosition a, StorePosition b) {
        return a.isAfter(b) ? a : b;
    }
}
