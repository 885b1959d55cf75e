package org.endivehold.config;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.AdapterName;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;

/**
 * How requests of one kind are served.
 *
 * @param name the route
 * @param kind generation or plain
 * @param version version that answers, for a generation route
 * @param adapter adapter on the version, if any
 * @param pathPrefix path prefix, for a plain route
 * @param upstreams plain services that serve the route, for a plain route
 * @param idempotent whether a call may run more than once
 * @param requestClass how urgent the requests are
 * @param defaultDeadlineMillis deadline of a request that names none, in milliseconds
 * @param maxDeadlineMillis longest deadline that a request may name, in milliseconds
 * @param longPromptTokens prompts of more tokens than this are reserved at the grantor
 */
public record Route(
        RouteName name,
        Kind kind,
        Optional<VersionName> version,
        Optional<AdapterName> adapter,
        Optional<String> pathPrefix,
        List<UpstreamName> upstreams,
        boolean idempotent,
        RequestClass requestClass,
        long defaultDeadlineMillis,
        long maxDeadlineMillis,
        long longPromptTokens) {
    /** Deadline of a request that names none, where the route does not say, in milliseconds. */
    public static final long DEFAULT_DEADLINE_MILLIS = 60_000;

    /** Longest deadline that a request may name, where the route does not say, in milliseconds. */
    public static final long DEFAULT_MAX_DEADLINE_MILLIS = 600_000;

    /** Longest deadline that any route may allow, in milliseconds. */
    public static final long LONGEST_DEADLINE_MILLIS = 24 * 3_600_000L;

    /** Prompts of more tokens than this are reserved, where the route does not say. */
    public static final long DEFAULT_LONG_PROMPT_TOKENS = 32_000;

    /** What stands behind a route. */
    public enum Kind {
        /** Model engines. */
        GENERATION,
        /** Plain services. */
        PLAIN
    }

    /**
     * Starts a route.
     *
     * @param name the route
     * @param kind generation or plain
     * @return a builder with every other field at its default
     */
    public static Builder builder(RouteName name, Kind kind) {
        return new Builder(name, kind);
    }

    /** Builds a route step by step. */
    public static final class Builder {
        private final RouteName name;
        private final Kind kind;
        private VersionName version;
        private AdapterName adapter;
        private String pathPrefix;
        private List<UpstreamName> upstreams = List.of();
        private boolean idempotent = true;
        private RequestClass requestClass = RequestClass.INTERACTIVE;
        private long defaultDeadlineMillis = DEFAULT_DEADLINE_MILLIS;
        private long maxDeadlineMillis = DEFAULT_MAX_DEADLINE_MILLIS;
        private long longPromptTokens = DEFAULT_LONG_PROMPT_TOKENS;

        private Builder(RouteName name, Kind kind) {
            this.name = name;
            this.kind = kind;
        }

        /**
         * Starts from an existing route.
         *
         * @param route the route to copy
         * @return a builder with every field of the route
         */
        public static Builder from(Route route) {
            return new Builder(route.name(), route.kind())
                    .version(route.version().orElse(null))
                    .adapter(route.adapter().orElse(null))
                    .pathPrefix(route.pathPrefix().orElse(null))
                    .upstreams(route.upstreams())
                    .idempotent(route.idempotent())
                    .requestClass(route.requestClass())
                    .defaultDeadlineMillis(route.defaultDeadlineMillis())
                    .maxDeadlineMillis(route.maxDeadlineMillis())
                    .longPromptTokens(route.longPromptTokens());
        }

        /**
         * Sets the version that answers.
         *
         * @param value the value
         * @return this
         */
        public Builder version(VersionName value) {
            version = value;
            return this;
        }

        /**
         * Sets the adapter on the version.
         *
         * @param value the value
         * @return this
         */
        public Builder adapter(AdapterName value) {
            adapter = value;
            return this;
        }

        /**
         * Sets the path prefix of a plain route.
         *
         * @param value the value
         * @return this
         */
        public Builder pathPrefix(String value) {
            pathPrefix = value;
            return this;
        }

        /**
         * Sets the plain services of a plain route.
         *
         * @param value the value
         * @return this
         */
        public Builder upstreams(List<UpstreamName> value) {
            upstreams = value;
            return this;
        }

        /**
         * Sets whether a call may run more than once.
         *
         * @param value the value
         * @return this
         */
        public Builder idempotent(boolean value) {
            idempotent = value;
            return this;
        }

        /**
         * Sets how urgent the requests are.
         *
         * @param value the value
         * @return this
         */
        public Builder requestClass(RequestClass value) {
            requestClass = value;
            return this;
        }

        /**
         * Sets the deadline of a request that names none, in milliseconds.
         *
         * @param value the value
         * @return this
         */
        public Builder defaultDeadlineMillis(long value) {
            defaultDeadlineMillis = value;
            return this;
        }

        /**
         * Sets the longest deadline that a request may name, in milliseconds.
         *
         * @param value the value
         * @return this
         */
        public Builder maxDeadlineMillis(long value) {
            maxDeadlineMillis = value;
            return this;
        }

        /**
         * Sets the length in tokens above which prompts are reserved.
         *
         * @param value the value
         * @return this
         */
        public Builder longPromptTokens(long value) {
            longPromptTokens = value;
            return this;
        }

        /**
         * Ends the building.
         *
         * @return the route
         */
        public Route build() {
            return new Route(
                    name,
                    kind,
                    Optional.ofNullable(version),
                    Optional.ofNullable(adapter),
                    Optional.ofNullable(pathPrefix),
                    List.copyOf(upstreams),
                    idempotent,
                    requestClass,
                    defaultDeadlineMillis,
                    maxDeadlineMillis,
                    longPromptTokens);
        }
    }
}
