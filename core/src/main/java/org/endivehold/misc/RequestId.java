package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one request of a caller; unique across all daemons.
 *
 * @param value the identifier, well-formed by {@link Names}
 */
public record RequestId(@JsonValue String value) {
    /** Fails with an {@link IllegalArgumentException} if the identifier is malformed. */
    @JsonCreator
    public RequestId {
        Names.require(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
