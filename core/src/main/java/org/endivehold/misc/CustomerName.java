package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a customer.
 *
 * @param value the name, well-formed by {@link Names}
 */
public record CustomerName(@JsonValue String value) implements Comparable<CustomerName> {
    /** Fails with an {@link IllegalArgumentException} if the name is malformed. */
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
