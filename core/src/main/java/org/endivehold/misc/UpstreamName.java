package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an upstream.
 *
 * @param value the name, of the form checked by {@link Names}
 */
public record UpstreamName(@JsonValue String value) implements Comparable<UpstreamName> {
    /** Checks the form of the name. */
    @JsonCreator
    public UpstreamName {
        Names.require(value);
    }

    @Override
    public int compareTo(UpstreamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
