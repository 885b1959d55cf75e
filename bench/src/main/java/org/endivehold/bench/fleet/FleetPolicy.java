package org.endivehold.bench.fleet;

import java.util.Locale;
import java.util.Optional;

/** A named combination of a placement policy and a capacity policy. */
public enum FleetPolicy {
    /** The default policies of the daemon. */
    ENDIVEHOLD("least-predicted-time", "cold-share"),
    /** Round robin over the upstreams, without coordination between daemons. */
    ROUND_ROBIN("round-robin", "unlimited"),
    /** The upstream with the fewest streams of the daemon itself, without coordination between daemons. */
    LEAST_OUTSTANDING("least-outstanding", "unlimited"),
    /** Least predicted time, without coordination between daemons. */
    UNLIMITED("least-predicted-time", "unlimited"),
    /** Least predicted time; each daemon has a fixed, equal share of every upstream. */
    EQUAL_SHARE("least-predicted-time", "equal-share");

    private final String placement;
    private final String capacity;

    FleetPolicy(String placement, String capacity) {
        this.placement = placement;
        this.capacity = capacity;
    }

    /**
     * Returns the placement policy.
     *
     * @return its name in the settings
     */
    public String placement() {
        return placement;
    }

    /**
     * Returns the capacity policy.
     *
     * @return its name in the settings
     */
    public String capacity() {
        return capacity;
    }

    /**
     * Returns the name of the policy on the command line and in reports.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a policy by its name on the command line.
     *
     * @param label the name, as from {@link #label}
     * @return the policy; empty if there is none of this name
     */
    public static Optional<FleetPolicy> of(String label) {
        for (FleetPolicy policy : values()) {
            if (policy.label().equals(label)) {
                return Optional.of(policy);
            }
        }
        return Optional.empty();
    }
}
