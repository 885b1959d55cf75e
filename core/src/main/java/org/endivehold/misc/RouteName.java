package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a route.
 *
 * @param value the name, of the form checked by {@link Names}
 */
public record RouteName(@JsonValue String value) implements Comparable<RouteName> {
    /** Checks the form of the name. */
    @JsonCreator
    public RouteName {
        Names.require(value);
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
