package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Number of a daemon process on its host; grows with each start.
 *
 * @param value the number, not negative
 */
public record Incarnation(@JsonValue long value) implements Comparable<Incarnation> {
    /** The smallest number. */
    public static final Incarnation ZERO = new Incarnation(0);

    /** Fails with an {@link IllegalArgumentException} if the number is negative. */
    @JsonCreator
    public Incarnation {
        if (value < 0) {
            throw new IllegalArgumentException("negative number: " + value);
        }
    }

    /**
     * Returns the next number.
     *
     * @return this number plus one
     */
    public Incarnation next() {
        return new Incarnation(value + 1);
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
