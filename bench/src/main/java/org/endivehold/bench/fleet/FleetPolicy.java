package org.endivehold.bench.fleet;

import java.util.Locale;
import java.util.Optional;

/** A pair of placement and capacity, under one name. */
public enum FleetPolicy {
    /** The system as it ships. */
    ENDIVEHOLD("least-predicted-time", "cold-share"),
    /** Upstreams in turn, each daemon alone. */
    ROUND_ROBIN("round-robin", "unlimited"),
    /** The upstream with the fewest streams of this daemon, each daemon alone. */
    LEAST_OUTSTANDING("least-outstanding", "unlimited"),
    /** Predicted time, each daemon alone. */
    UNLIMITED("least-predicted-time", "unlimited"),
    /** Predicted time, each daemon with an equal fixed part of every upstream. */
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
     * Returns the word on the command line.
     *
     * @return the name in lower case with hyphens
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a policy.
     *
     * @param word the word on the command line
     * @return the policy, if there is one
     */
    public static Optional<FleetPolicy> of(String word) {
        for (FleetPolicy policy : values()) {
            if (policy.word().equals(word)) {
                return Optional.of(policy);
            }
        }
        return Optional.empty();
    }
}
