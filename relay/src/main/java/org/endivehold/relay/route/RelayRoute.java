package org.endivehold.relay.route;

import java.util.List;

/**
 * A route as configured by operators.
 *
 * @param name its name
 * @param host value of the Host header that selects it
 * @param pathPrefix prefix of the request paths that select it; begins and ends with a slash
 * @param kind kind of its requests, which determines whether they may be retried
 * @param timeoutMillis time limit for the complete response
 * @param targetMillis latency target for the response, or for the first event of a stream
 * @param gapTargetMillis latency target for the pause between events of a stream; 0 if none is configured
 * @param priority priority, 0 is the highest
 * @param services services among which its requests are divided
 * @param maxAttempts largest number of upstreams to which one request is sent
 * @param publicAccess whether it is served without an API key
 * @param resumable whether its streams may be resumed at another upstream
 */
public record RelayRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        int timeoutMillis,
        int targetMillis,
        int gapTargetMillis,
        int priority,
        List<ServiceShare> services,
        int maxAttempts,
        boolean publicAccess,
        boolean resumable) {
    /** Keeps an immutable copy of the services. */
    public RelayRoute {
        services = List.copyOf(services);
    }

    /** Returns whether a request may be retried if it is unknown whether it ran. */
    public boolean idempotent() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Selects the service of one request according to the weights.
     *
     * @param point a uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
     * @return name of the service
     */
    public String selectService(double point) {
        double total = 0;
        for (ServiceShare share : services) {
            total += share.weight();
        }
        double remaining = point * total;
        for (ServiceShare share : services) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
