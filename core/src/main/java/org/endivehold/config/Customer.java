package org.endivehold.config;

import java.util.List;
import org.endivehold.misc.CustomerName;

/**
 * A customer.
 *
 * @param name the customer
 * @param keyHashes SHA-256 hashes of its API keys, in lower-case hexadecimal
 * @param weight share in fair queueing, positive
 * @param maxConcurrent most requests in progress at one daemon
 * @param maxQueued most requests waiting at one daemon
 */
public record Customer(CustomerName name, List<String> keyHashes, int weight, int maxConcurrent, int maxQueued) {
    /** Weight of a customer that names none. */
    public static final int DEFAULT_WEIGHT = 1;

    /** Most requests in progress at one daemon, where the customer does not say. */
    public static final int DEFAULT_MAX_CONCURRENT = 64;

    /** Most requests waiting at one daemon, where the customer does not say. */
    public static final int DEFAULT_MAX_QUEUED = 256;

    /**
     * Starts a customer.
     *
     * @param name the customer
     * @return a builder with every other field at its default
     */
    public static Builder builder(CustomerName name) {
        return new Builder(name);
    }

    /** Builds a customer step by step. */
    public static final class Builder {
        private final CustomerName name;
        private List<String> keyHashes = List.of();
        private int weight = DEFAULT_WEIGHT;
        private int maxConcurrent = DEFAULT_MAX_CONCURRENT;
        private int maxQueued = DEFAULT_MAX_QUEUED;

        private Builder(CustomerName name) {
            this.name = name;
        }

        /**
         * Sets the SHA-256 hashes of its API keys, in lower-case hexadecimal.
         *
         * @param value the value
         * @return this
         */
        public Builder keyHashes(List<String> value) {
            keyHashes = value;
            return this;
        }

        /**
         * Sets its share in fair queueing.
         *
         * @param value the value
         * @return this
         */
        public Builder weight(int value) {
            weight = value;
            return this;
        }

        /**
         * Sets the most requests in progress at one daemon.
         *
         * @param value the value
         * @return this
         */
        public Builder maxConcurrent(int value) {
            maxConcurrent = value;
            return this;
        }

        /**
         * Sets the most requests waiting at one daemon.
         *
         * @param value the value
         * @return this
         */
        public Builder maxQueued(int value) {
            maxQueued = value;
            return this;
        }

        /**
         * Ends the building.
         *
         * @return the customer
         */
        public Customer build() {
            return new Customer(name, List.copyOf(keyHashes), weight, maxConcurrent, maxQueued);
        }
    }
}
