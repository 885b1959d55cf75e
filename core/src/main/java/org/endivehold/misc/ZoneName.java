package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an availability zone.
 *
 * @param value the name, well-formed by {@link Names}
 */
public record ZoneName(@JsonValue String value) implements Comparable<ZoneName> {
    /** Fails with an {@link IllegalArgumentException} if the name is malformed. */
    @JsonCreator
    public ZoneName {
        Names.require(value);
    }

    @Override
    public int compareTo(ZoneName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
