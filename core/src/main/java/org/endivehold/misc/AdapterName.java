package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an adapter.
 *
 * @param value the name, well-formed by {@link Names}
 */
public record AdapterName(@JsonValue String value) implements Comparable<AdapterName> {
    /** Fails with an {@link IllegalArgumentException} if the name is malformed. */
    @JsonCreator
    public AdapterName {
        Names.require(value);
    }

    @Override
    public int compareTo(AdapterName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
