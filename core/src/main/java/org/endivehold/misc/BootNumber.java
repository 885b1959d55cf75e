package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The number of an upstream's start; changes whenever it starts again.
 *
 * @param value the number, not negative
 */
public record BootNumber(@JsonValue long value) implements Comparable<BootNumber> {
    /** The number before any other. */
    public static final BootNumber ZERO = new BootNumber(0);

    /** Checks that the number is not negative. */
    @JsonCreator
    public BootNumber {
        if (value < 0) {
            throw new IllegalArgumentException("negative number: " + value);
        }
    }

    /**
     * Returns the number after this one.
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
