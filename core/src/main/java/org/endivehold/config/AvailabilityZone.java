package org.endivehold.config;

import org.endivehold.misc.RegionName;
import org.endivehold.misc.ZoneName;

/**
 * An availability zone.
 *
 * @param name the zone
 * @param region its region
 * @param state whether it takes new work
 */
public record AvailabilityZone(ZoneName name, RegionName region, State state) {
    /** Whether a zone takes new work. */
    public enum State {
        /** New work goes there. */
        IN,
        /** Operators have taken the zone out. */
        OUT
    }
}
