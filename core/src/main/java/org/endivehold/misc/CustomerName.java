package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a customer.
 *
 * @param value the name, of the form checked by {@link Names}
 */
public record CustomerName(@JsonValue String value) implements Comparable<CustomerName> {
    /** Checks the form of the name. */
    @JsonCreator
    public CustomerName {
        Names.require(value);
    }

    @Override
    public int compareTo(CustomerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
