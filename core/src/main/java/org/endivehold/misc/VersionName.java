package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a version of a model.
 *
 * @param value the name, of the form checked by {@link Names}
 */
public record VersionName(@JsonValue String value) implements Comparable<VersionName> {
    /** Checks the form of the name. */
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
