package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an availability zone.
 *
 * @param value the name, of the form checked by {@link Names}
 */
public record ZoneName(@JsonValue String value) implements Comparable<ZoneName> {
    /** Checks the form of the name. */
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
