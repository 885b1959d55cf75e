package org.endivehold.config;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.AdapterName;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;

/**
 * Rules for serving one group of requests: generation by model engines, or calls to plain services (HTTP services that
 * are not model engines).
 *
 * @param name the route
 * @param kind generation or plain
 * @param version model version that serves a generation route; empty for a plain route
 * @param adapter adapter on that version, if any
 * @param pathPrefix request path prefix of a plain route; empty for a generation route
 * @param upstreams plain services that serve a plain route; empty for a generation route
 * @param idempotent whether a call may be executed more than once
 * @param requestClass scheduling class of the requests
 * @param defaultDeadlineMillis deadline of a request that specifies none, in milliseconds
 * @param maxDeadlineMillis maximum deadline that a request may specify, in milliseconds
 * @param longPromptTokens length above which a prompt needs a reservation, in tokens
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
    /** Default of {@code defaultDeadlineMillis}, in milliseconds. */
    public static final long DEFAULT_DEADLINE_MILLIS = 60_000;

    /** Default of {@code maxDeadlineMillis}, in milliseconds. */
    public static final long DEFAULT_MAX_DEADLINE_MILLIS = 600_000;

    /** Upper limit of both deadline fields of a route, in milliseconds. */
    public static final long LONGEST_DEADLINE_MILLIS = 24 * 3_600_000L;

    /** Default of {@code longPromptTokens}, in tokens. */
    public static final long DEFAULT_LONG_PROMPT_TOKENS = 32_000;

    /** Kind of upstreams that serve a route. */
    public enum Kind {
        /** Model engines. */
        GENERATION,
        /** Plain services. */
        PLAIN
    }

    /**
     * Creates a builder for a route.
     *
     * @param name the route
     * @param kind generation or plain
     * @return a builder with every other field at its default
     */
    public static Builder builder(RouteName name, Kind kind) {
        return new Builder(name, kind);
    }

    /** Builder of {@link Route}. */
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
         * Creates a builder that is initialised from an existing route.
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
         * Sets the model version that serves a generation route.
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
         * Sets whether a call may be executed more than once.
         *
         * @param value the value
         * @return this
         */
        public Builder idempotent(boolean value) {
            idempotent = value;
            return this;
        }

        /**
         * Sets the scheduling class of the requests.
         *
         * @param value the value
         * @return this
         */
        public Builder requestClass(RequestClass value) {
            requestClass = value;
            return this;
        }

        /**
         * Sets the deadline of a request that specifies none, in milliseconds.
         *
         * @param value the value
         * @return this
         */
        public Builder defaultDeadlineMillis(long value) {
            defaultDeadlineMillis = value;
            return this;
        }

        /**
         * Sets the maximum deadline that a request may specify, in milliseconds.
         *
         * @param value the value
         * @return this
         */
        public Builder maxDeadlineMillis(long value) {
            maxDeadlineMillis = value;
            return this;
        }

        /**
         * Sets the length in tokens above which a prompt needs a reservation.
         *
         * @param value the value
         * @return this
         */
        public Builder longPromptTokens(long value) {
            longPromptTokens = value;
            return this;
        }

        /**
         * Builds the route; field values are not validated here.
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
