package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a version of a model.
 *
 * @param value the name, well-formed by {@link Names}
 */
public record VersionName(@JsonValue String value) implements Comparable<VersionName> {
    /** Fails with an {@link IllegalArgumentException} if the name is malformed. */
    @JsonCreator
    public VersionName {
        Names.require(value);
    }

    @Override
    public int compareTo(VersionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
