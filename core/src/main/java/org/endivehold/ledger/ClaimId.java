package org.endivehold.ledger;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.endivehold.misc.Names;

/**
 * Identifies one attempt to claim a key; unique over all daemons and never used again.
 *
 * @param value the identifier, of the form checked by {@link Names}
 */
public record ClaimId(@JsonValue String value) {
    /** Checks the form of the identifier. */
    @JsonCreator
    public ClaimId {
        Names.require(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
