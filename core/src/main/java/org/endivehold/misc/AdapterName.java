package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an adapter.
 *
 * @param value the name, of the form checked by {@link Names}
 */
public record AdapterName(@JsonValue String value) implements Comparable<AdapterName> {
    /** Checks the form of the name. */
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
