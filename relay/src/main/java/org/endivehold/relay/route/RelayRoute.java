package org.endivehold.relay.route;

import java.util.List;

/**
 * A route of the configuration.
 *
 * @param name its name
 * @param host value of the Host header that selects it
 * @param pathPrefix prefix of the paths that it takes; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time until the final answer
 * @param targetMillis time to the answer, or to the first event, within which it is on time
 * @param gapTargetMillis longest pause between events of a stream that is on time; 0 if none is stated
 * @param priority rank, 0 is the highest
 * @param services where its requests go
 * @param maxAttempts most upstreams to which one request is sent
 * @param open whether it is served without an API key
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
        boolean open,
        boolean resumable) {
    /** Keeps an immutable copy of the services. */
    public RelayRoute {
        services = List.copyOf(services);
    }

    /** Tells whether a request may run a second time when it is unknown whether it ran. */
    public boolean idempotent() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Picks the service of one request by the weights.
     *
     * @param point a number drawn evenly from 0 (inclusive) to 1 (exclusive)
     * @return name of the service
     */
    public String pick(double point) {
        double total = 0;
        for (ServiceShare share : services) {
            total += share.weight();
        }
        double left = point * total;
        for (ServiceShare share : services) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
