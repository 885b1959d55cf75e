package org.endivehold.config;

import org.endivehold.misc.RegionName;
import org.endivehold.misc.ZoneName;

/**
 * An availability zone.
 *
 * @param name the zone
 * @param region its region
 * @param state whether it receives new work
 */
public record AvailabilityZone(ZoneName name, RegionName region, State state) {
    /** Whether a zone receives new work. */
    public enum State {
        /** The zone receives new work. */
        IN,
        /** An operator has taken the zone out of service; it receives no new work. */
        OUT
    }
}
