package org.endivehold.config;

import java.util.List;
import org.endivehold.misc.CustomerName;

/**
 * A customer, identified by its API keys, with its share and limits.
 *
 * @param name the customer
 * @param keyHashes SHA-256 hashes of its API keys, in lower-case hexadecimal
 * @param weight relative share in weighted fair queueing, positive
 * @param maxConcurrent maximum number of requests in progress per daemon
 * @param maxQueued maximum number of queued requests per daemon
 */
public record Customer(CustomerName name, List<String> keyHashes, int weight, int maxConcurrent, int maxQueued) {
    /** Default of {@code weight}. */
    public static final int DEFAULT_WEIGHT = 1;

    /** Default of {@code maxConcurrent}, in requests. */
    public static final int DEFAULT_MAX_CONCURRENT = 64;

    /** Default of {@code maxQueued}, in requests. */
    public static final int DEFAULT_MAX_QUEUED = 256;

    /**
     * Creates a builder for a customer.
     *
     * @param name the customer
     * @return a builder with every other field at its default
     */
    public static Builder builder(CustomerName name) {
        return new Builder(name);
    }

    /** Builder of {@link Customer}. */
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
         * Sets its relative share in weighted fair queueing.
         *
         * @param value the value
         * @return this
         */
        public Builder weight(int value) {
            weight = value;
            return this;
        }

        /**
         * Sets the maximum number of requests in progress per daemon.
         *
         * @param value the value
         * @return this
         */
        public Builder maxConcurrent(int value) {
            maxConcurrent = value;
            return this;
        }

        /**
         * Sets the maximum number of queued requests per daemon.
         *
         * @param value the value
         * @return this
         */
        public Builder maxQueued(int value) {
            maxQueued = value;
            return this;
        }

        /**
         * Builds the customer; field values are not validated here.
         *
         * @return the customer
         */
        public Customer build() {
            return new Customer(name, List.copyOf(keyHashes), weight, maxConcurrent, maxQueued);
        }
    }
}
