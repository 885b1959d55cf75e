package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The fencing number of a lease on a grant group; grows with each new holder.
 *
 * @param value the number, not negative
 */
public record Epoch(@JsonValue long value) implements Comparable<Epoch> {
    /** The number before any other. */
    public static final Epoch ZERO = new Epoch(0);

    /** Checks that the number is not negative. */
    @JsonCreator
    public Epoch {
        if (value < 0) {
            throw new IllegalArgumentException("negative number: " + value);
        }
    }

    /**
     * Returns the number after this one.
     *
     * @return this number plus one
     */
    public Epoch next() {
        return new Epoch(value + 1);
    }

    @Override
    public int compareTo(Epoch other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
