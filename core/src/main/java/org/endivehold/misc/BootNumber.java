package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Number of one start of an upstream; changes with every restart.
 *
 * @param value the number, not negative
 */
public record BootNumber(@JsonValue long value) implements Comparable<BootNumber> {
    /** The smallest number. */
    public static final BootNumber ZERO = new BootNumber(0);

    /** Fails with an {@link IllegalArgumentException} if the number is negative. */
    @JsonCreator
    public BootNumber {
        if (value < 0) {
            throw new IllegalArgumentException("negative number: " + value);
        }
    }

    /**
     * Returns the next number.
     *
     * @return this number plus one
     */
    public BootNumber next() {
        return new BootNumber(value + 1);
    }

    @Override
    public int compareTo(BootNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
