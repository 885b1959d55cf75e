package org.endivehold.relay.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One complete version of the operators' configuration, immutable and indexed for look-ups. */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<RelayRoute>> routesByHost;
    private final Map<String, RelayService> services;
    private final Map<String, Customer> customersByKey;
    private final boolean apiKeysRequired;
    private final CallerLimits limits;
    private final PriorityRanks ranks;

    private RoutingTable(Builder builder) {
        version = builder.version;
        routesByHost = builder.routesByHost;
        routesByHost
                .values()
                .forEach(routes -> routes.sort(Comparator.comparingInt(
                        (RelayRoute r) -> -r.pathPrefix().length())));
        services = Map.copyOf(builder.services);
        customersByKey = Map.copyOf(builder.customersByKey);
        apiKeysRequired = builder.requireApiKeys;
        limits = builder.limits;
        ranks = new PriorityRanks(
                routesByHost.values().stream().flatMap(List::stream).toList(), customersByKey.values());
    }

    /** Creates a builder of a table that is empty and requires no API keys. */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** Returns the version of the configuration; it increases with each publication. */
    public long version() {
        return version;
    }

    /** Returns the limits for callers' requests. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns whether requests need an API key, except on public routes. */
    public boolean apiKeysRequired() {
        return apiKeysRequired;
    }

    /** Returns the number of routes. */
    public int size() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /**
     * Selects the route of a request: the one with the longest matching prefix among the routes of its host.
     *
     * @param host value of the Host header, with or without a port
     * @param path path without the query
     * @return the route, or empty if none matches
     */
    public Optional<RelayRoute> route(String host, String path) {
        List<RelayRoute> routes = routesByHost.get(hostName(host));
        if (routes == null) {
            return Optional.empty();
        }
        for (RelayRoute route : routes) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the service with a name; empty if it is not configured. */
    public Optional<RelayService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the customer to whom an API key belongs; empty if the key is null or unknown. */
    public Optional<Customer> customer(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * Returns whose a request is and how urgent beside the others of the same service.
     *
     * @param service name of the service that serves it
     * @param route its route
     * @param customer its customer; empty on public routes
     */
    public TrafficClass trafficClass(String service, RelayRoute route, Optional<Customer> customer) {
        return ranks.trafficClass(service, route, customer);
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    /** Builds a routing table; each builder is used once. */
    public static final class Builder {
        private final long version;
        private final Map<String, List<RelayRoute>> routesByHost = new HashMap<>();
        private final Map<String, RelayService> services = new HashMap<>();
        private final Map<String, Customer> customersByKey = new HashMap<>();
        private boolean requireApiKeys;
        private CallerLimits limits = CallerLimits.DEFAULT;

        private Builder(long version) {
            this.version = version;
        }

        /** Adds a route; its host is matched without regard to case and port. */
        public Builder route(RelayRoute route) {
            routesByHost
                    .computeIfAbsent(hostName(route.host()), host -> new ArrayList<>())
                    .add(route);
            return this;
        }

        /** Adds a service; replaces one with the same name. */
        public Builder service(RelayService service) {
            services.put(service.name(), service);
            return this;
        }

        /** Requires an API key for all requests, except on public routes. */
        public Builder requireApiKeys() {
            requireApiKeys = true;
            return this;
        }

        /** Adds an API key of a customer; replaces an earlier owner of the key. */
        public Builder key(String key, Customer customer) {
            customersByKey.put(key, customer);
            return this;
        }

        /** Sets the limits for callers' requests; there are defaults. */
        public Builder limits(CallerLimits value) {
            limits = value;
            return this;
        }

        /** Returns the finished table. */
        public RoutingTable build() {
            return new RoutingTable(this);
        }
    }
}
