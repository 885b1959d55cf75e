package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one request of a caller; unique over all daemons.
 *
 * @param value the identifier, of the form checked by {@link Names}
 */
public record RequestId(@JsonValue String value) {
    /** Checks the form of the identifier. */
    @JsonCreator
    public RequestId {
        Names.require(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
