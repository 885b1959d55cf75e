package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a host that runs a daemon.
 *
 * @param value the name, well-formed by {@link Names}
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Fails with an {@link IllegalArgumentException} if the name is malformed. */
    @JsonCreator
    public HostId {
        Names.require(value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
