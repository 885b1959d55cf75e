package org.endivehold.bench.fleet;

import org.endivehold.config.Configuration;

/**
 * Parameters of a fleet.
 *
 * @param configuration the configuration; each of its upstreams is replaced by a stand-in
 * @param policy placement and capacity policy of the daemons
 * @param daemons number of daemons
 * @param speed speed-up factor of the engines; 1 is real time
 * @param seed seed of the daemons' random number generators
 * @param readyTimeoutMillis time-out until all daemons are ready, in milliseconds
 */
public record FleetPlan(
        Configuration configuration,
        FleetPolicy policy,
        int daemons,
        double speed,
        long seed,
        long readyTimeoutMillis) {
    /**
     * Creates a builder with six daemons, the default policy, no speed-up, seed 1 and a ready time-out of 30 s.
     *
     * @param configuration the configuration
     * @return a builder
     */
    public static Builder builder(Configuration configuration) {
        return new Builder(configuration);
    }

    /** Builds a {@link FleetPlan}. */
    public static final class Builder {
        private static final long READY_TIMEOUT_MILLIS = 30_000;

        private final Configuration configuration;
        private FleetPolicy policy = FleetPolicy.ENDIVEHOLD;
        private int daemons = 6;
        private double speed = 1;
        private long seed = 1;

        private Builder(Configuration configuration) {
            this.configuration = configuration;
        }

        /**
         * Sets the placement and capacity policy.
         *
         * @param value the policy
         * @return this
         */
        public Builder policy(FleetPolicy value) {
            policy = value;
            return this;
        }

        /**
         * Sets the number of daemons.
         *
         * @param value at least one
         * @return this
         */
        public Builder daemons(int value) {
            daemons = value;
            return this;
        }

        /**
         * Sets the speed-up factor of the engines.
         *
         * @param value 1 for real time
         * @return this
         */
        public Builder speed(double value) {
            speed = value;
            return this;
        }

        /**
         * Sets the seed of the daemons' random number generators.
         *
         * @param value not zero
         * @return this
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Builds the plan.
         *
         * @return the plan
         */
        public FleetPlan build() {
            return new FleetPlan(configuration, policy, daemons, speed, seed, READY_TIMEOUT_MILLIS);
        }
    }
}
