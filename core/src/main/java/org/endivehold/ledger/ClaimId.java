package org.endivehold.ledger;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.endivehold.misc.Names;

/**
 * Identifies one attempt to claim an idempotency key; unique across all daemons and never reused.
 *
 * @param value the identifier, well-formed by {@link Names}
 */
public record ClaimId(@JsonValue String value) {
    /** Fails with an {@link IllegalArgumentException} if the identifier is malformed. */
    @JsonCreator
    public ClaimId {
        Names.require(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
