package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a model.
 *
 * @param value the name, well-formed by {@link Names}
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {
    /** Fails with an {@link IllegalArgumentException} if the name is malformed. */
    @JsonCreator
    public ModelName {
        Names.require(value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
