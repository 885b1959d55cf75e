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
    /** What stands behind a route. */
    public enum Kind {
        /** Model engines. */
        GENERATION,
        /** Plain services. */
        PLAIN
    }
}
