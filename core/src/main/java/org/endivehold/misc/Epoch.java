package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Fencing token of the lease on a grant group; grows with each new holder of the lease.
 *
 * @param value the number, not negative
 */
public record Epoch(@JsonValue long value) implements Comparable<Epoch> {
    /** The smallest number. */
    public static final Epoch ZERO = new Epoch(0);

    /** Fails with an {@link IllegalArgumentException} if the number is negative. */
    @JsonCreator
    public Epoch {
        if (value < 0) {
            throw new IllegalArgumentException("negative number: " + value);
        }
    }

    /**
     * Returns the next number.
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
