package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one generation stream on an engine; unique over all daemons.
 *
 * @param value the identifier, of the form checked by {@link Names}
 */
public record StreamId(@JsonValue String value) {
    /** Checks the form of the identifier. */
    @JsonCreator
    public StreamId {
        Names.require(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
