package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a model.
 *
 * @param value the name, of the form checked by {@link Names}
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {
    /** Checks the form of the name. */
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
