package org.endivehold.misc;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a host that runs a daemon.
 *
 * @param value the name, of the form checked by {@link Names}
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Checks the form of the name. */
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
