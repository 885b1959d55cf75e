package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a region.
 *
 * @param value the name, well-formed by {@link Names}
 */
public record RegionName(@JsonValue String value) implements Comparable<RegionName> {
    /** Fails with an {@link IllegalArgumentException} if the name is malformed. */
    @JsonCreator
    public RegionName {
        Names.require(value);
    }

    @Override
    public int compareTo(RegionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
