package org.endivehold.bench.fleet;

import org.endivehold.config.Configuration;

/**
 * What a fleet consists of.
 *
 * @param configuration the configuration; its upstreams become stand-ins
 * @param policy how daemons decide
 * @param daemons number of daemons
 * @param speed factor that speeds the engines up
 * @param seed seed of the daemons' random numbers
 * @param settleMillis longest time until all daemons are ready, in milliseconds
 */
public record FleetPlan(
        Configuration configuration, FleetPolicy policy, int daemons, double speed, long seed, long settleMillis) {
    /**
     * Starts a builder with six daemons, the shipped policy and no speed-up.
     *
     * @param configuration the configuration
     * @return a builder
     */
    public static Builder builder(Configuration configuration) {
        return new Builder(configuration);
    }

    /** Builds a {@link FleetPlan}. */
    public static final class Builder {
        private static final long SETTLE_MILLIS = 30_000;

        private final Configuration configuration;
        private FleetPolicy policy = FleetPolicy.ENDIVEHOLD;
        private int daemons = 6;
        private double speed = 1;
        private long seed = 1;

        private Builder(Configuration configuration) {
            this.configuration = configuration;
        }

        /**
         * Sets the policy.
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
         * Sets the speed-up.
         *
         * @param value one for real time
         * @return this
         */
        public Builder speed(double value) {
            speed = value;
            return this;
        }

        /**
         * Sets the seed.
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
            return new FleetPlan(configuration, policy, daemons, speed, seed, SETTLE_MILLIS);
        }
    }
}
