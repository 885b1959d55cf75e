package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a region.
 *
 * @param value the name, of the form checked by {@link Names}
 */
public record RegionName(@JsonValue String value) implements Comparable<RegionName> {
    /** Checks the form of the name. */
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
