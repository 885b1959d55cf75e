package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an upstream.
 *
 * @param value the name, well-formed by {@link Names}
 */
public record UpstreamName(@JsonValue String value) implements Comparable<UpstreamName> {
    /** Fails with an {@link IllegalArgumentException} if the name is malformed. */
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
