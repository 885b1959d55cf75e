package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Number of a published configuration; grows by one with each publish.
 *
 * @param value the number, not negative
 */
public record Revision(@JsonValue long value) implements Comparable<Revision> {
    /** The smallest number. */
    public static final Revision ZERO = new Revision(0);

    /** Fails with an {@link IllegalArgumentException} if the number is negative. */
    @JsonCreator
    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("negative number: " + value);
        }
    }

    /**
     * Returns the next number.
     *
     * @return this number plus one
     */
    public Revision next() {
        return new Revision(value + 1);
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
