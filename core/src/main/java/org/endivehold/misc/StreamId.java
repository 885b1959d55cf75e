package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one generation stream on an engine; unique across all daemons.
 *
 * @param value the identifier, well-formed by {@link Names}
 */
public record StreamId(@JsonValue String value) {
    /** Fails with an {@link IllegalArgumentException} if the identifier is malformed. */
    @JsonCreator
    public StreamId {
        Names.require(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
