package org.endivehold.config;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;

/**
 * A model engine or a plain service (an HTTP service that is not a model engine).
 *
 * @param name the upstream
 * @param kind engine or plain service
 * @param zone its availability zone
 * @param address IP address
 * @param port TCP port
 * @param state whether it receives new work
 * @param versions versions that an engine may serve
 * @param slots maximum number of concurrent streams or calls when warm
 * @param coldSlots maximum number of concurrent streams or calls during cold start
 * @param memoryTokens size of the KV cache memory, in tokens; 0 for a plain service
 * @param prefillTokensPerSecond nominal prefill rate, in tokens per second; 0 for a plain service
 * @param checksFencing whether it rejects orders with an outdated fencing token
 */
public record Upstream(
        UpstreamName name,
        Kind kind,
        ZoneName zone,
        String address,
        int port,
        State state,
        Set<VersionName> versions,
        int slots,
        int coldSlots,
        long memoryTokens,
        long prefillTokensPerSecond,
        boolean checksFencing) {
    /** Default of {@code slots}. */
    public static final int DEFAULT_SLOTS = 32;

    /** Default of {@code coldSlots}; limited to {@code slots} if that is lower. */
    public static final int DEFAULT_COLD_SLOTS = 2;

    /** Kinds of upstreams. */
    public enum Kind {
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        PLAIN
    }

    /** Whether an upstream receives new work. */
    public enum State {
        /** The upstream receives new work. */
        SERVING,
        /** The upstream finishes its running work and receives no new work (drain). */
        LEAVING
    }

    /**
     * Creates a builder for an upstream.
     *
     * @param name the upstream
     * @param kind engine or plain service
     * @return a builder with every other field at its default
     */
    public static Builder builder(UpstreamName name, Kind kind) {
        return new Builder(name, kind);
    }

    /** Builder of {@link Upstream}. */
    public static final class Builder {
        private final UpstreamName name;
        private final Kind kind;
        private ZoneName zone;
        private String address = "";
        private int port;
        private State state = State.SERVING;
        private Set<VersionName> versions = Set.of();
        private int slots = DEFAULT_SLOTS;
        private int coldSlots = DEFAULT_COLD_SLOTS;
        private long memoryTokens;
        private long prefillTokensPerSecond;
        private boolean checksFencing;

        private Builder(UpstreamName name, Kind kind) {
            this.name = name;
            this.kind = kind;
        }

        /**
         * Creates a builder that is initialised from an existing upstream.
         *
         * @param upstream the upstream
         * @return a builder with the same fields
         */
        public static Builder from(Upstream upstream) {
            return new Builder(upstream.name, upstream.kind)
                    .zone(upstream.zone)
                    .address(upstream.address)
                    .port(upstream.port)
                    .state(upstream.state)
                    .versions(upstream.versions)
                    .slots(upstream.slots)
                    .coldSlots(upstream.coldSlots)
                    .memoryTokens(upstream.memoryTokens)
                    .prefillTokensPerSecond(upstream.prefillTokensPerSecond)
                    .checksFencing(upstream.checksFencing);
        }

        /**
         * Sets its availability zone.
         *
         * @param value the value
         * @return this
         */
        public Builder zone(ZoneName value) {
            zone = value;
            return this;
        }

        /**
         * Sets its IP address.
         *
         * @param value the value
         * @return this
         */
        public Builder address(String value) {
            address = value;
            return this;
        }

        /**
         * Sets its TCP port.
         *
         * @param value the value
         * @return this
         */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /**
         * Sets whether it receives new work.
         *
         * @param value the value
         * @return this
         */
        public Builder state(State value) {
            state = value;
            return this;
        }

        /**
         * Sets the versions that an engine may serve.
         *
         * @param value the value
         * @return this
         */
        public Builder versions(Set<VersionName> value) {
            versions = value;
            return this;
        }

        /**
         * Sets the maximum number of concurrent streams or calls when warm.
         *
         * @param value the value
         * @return this
         */
        public Builder slots(int value) {
            slots = value;
            return this;
        }

        /**
         * Sets the maximum number of concurrent streams or calls during cold start.
         *
         * @param value the value
         * @return this
         */
        public Builder coldSlots(int value) {
            coldSlots = value;
            return this;
        }

        /**
         * Sets the size of its KV cache memory, in tokens.
         *
         * @param value the value
         * @return this
         */
        public Builder memoryTokens(long value) {
            memoryTokens = value;
            return this;
        }

        /**
         * Sets its nominal prefill rate, in tokens per second.
         *
         * @param value the value
         * @return this
         */
        public Builder prefillTokensPerSecond(long value) {
            prefillTokensPerSecond = value;
            return this;
        }

        /**
         * Sets whether it rejects orders with an outdated fencing token.
         *
         * @param value the value
         * @return this
         */
        public Builder checksFencing(boolean value) {
            checksFencing = value;
            return this;
        }

        /**
         * Builds the upstream; field values are not validated here.
         *
         * @return the upstream
         */
        public Upstream build() {
            return new Upstream(
                    name,
                    kind,
                    zone,
                    address,
                    port,
                    state,
                    Collections.unmodifiableSortedSet(new TreeSet<>(versions)),
                    slots,
                    coldSlots,
                    memoryTokens,
                    prefillTokensPerSecond,
                    checksFencing);
        }
    }
}
