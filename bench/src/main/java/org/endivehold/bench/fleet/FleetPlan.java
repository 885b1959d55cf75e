package org.endivehold.bench.fleet;

import io.vertx.core.json.JsonObject;
import java.util.function.Consumer;
import org.endivehold.config.Configuration;

/**
 * What a {@link Fleet} consists of.
 *
 * @param configuration the configuration to publish; addresses and ports of upstreams are replaced
 * @param daemons number of daemons
 * @param placement name of the placement policy
 * @param capacity name of the capacity policy
 * @param speed factor by which the stand-in engines run faster than nominal
 * @param seed seed of all random numbers
 * @param settings changes to the JSON settings of each daemon
 */
public record FleetPlan(
        Configuration configuration,
        int daemons,
        String placement,
        String capacity,
        double speed,
        long seed,
        Consumer<JsonObject> settings) {
    /**
     * Starts a builder: three daemons, policy {@code least-predicted-time}, capacity {@code granted}, speed 1, seed 1.
     *
     * @param configuration the configuration to publish
     * @return a builder
     */
    public static Builder builder(Configuration configuration) {
        return new Builder(configuration);
    }

    /** Builds a {@link FleetPlan}. */
    public static final class Builder {
        private static final int DEFAULT_DAEMONS = 3;

        private final Configuration configuration;
        private int daemons = DEFAULT_DAEMONS;
        private String placement = "least-predicted-time";
        private String capacity = "granted";
        private double speed = 1;
        private long seed = 1;
        private Consumer<JsonObject> settings = json -> {};

        private Builder(Configuration configuration) {
            this.configuration = configuration;
        }

        /**
         * Sets the number of daemons.
         *
         * @param value positive
         * @return this
         */
        public Builder daemons(int value) {
            daemons = value;
            return this;
        }

        /**
         * Sets the policies.
         *
         * @param placementPolicy name of the placement policy
         * @param capacityPolicy name of the capacity policy
         * @return this
         */
        public Builder policies(String placementPolicy, String capacityPolicy) {
            placement = placementPolicy;
            capacity = capacityPolicy;
            return this;
        }

        /**
         * Sets the speed of the engines.
         *
         * @param value factor over nominal
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
         * Sets changes to the daemons' settings.
         *
         * @param value changes one daemon's settings
         * @return this
         */
        public Builder settings(Consumer<JsonObject> value) {
            settings = value;
            return this;
        }

        /**
         * Builds the plan.
         *
         * @return the plan
         */
        public FleetPlan build() {
            return new FleetPlan(configuration, daemons, placement, capacity, speed, seed, settings);
        }
    }
}
