package org.endivehold.relay.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One whole version of the operators' configuration, immutable and indexed for look-ups. */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<RelayRoute>> routesByHost;
    private final Map<String, RelayService> services;
    private final Map<String, Customer> customersByKey;
    private final boolean keyed;
    private final CallerLimits limits;

    private RoutingTable(Builder builder) {
        version = builder.version;
        routesByHost = builder.routesByHost;
        routesByHost
                .values()
                .forEach(routes -> routes.sort(Comparator.comparingInt(
                        (RelayRoute r) -> -r.pathPrefix().length())));
        services = Map.copyOf(builder.services);
        customersByKey = Map.copyOf(builder.customersByKey);
        keyed = builder.keyed;
        limits = builder.limits;
    }

    /** Starts a table. */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** Returns the version; later ones are greater. */
    public long version() {
        return version;
    }

    /** Returns what callers may send. */
    public CallerLimits limits() {
        return limits;
    }

    /** Tells whether requests need an API key unless their route is open. */
    public boolean keyed() {
        return keyed;
    }

    /** Returns how many routes there are. */
    public int size() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /**
     * Selects the route of a request: the longest prefix among the routes of its host.
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

    /** Finds a service by its name. */
    public Optional<RelayService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Finds the customer that holds an API key; a null key is held by none. */
    public Optional<Customer> customer(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(customersByKey.get(key));
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    /** Collects the parts of a table. */
    public static final class Builder {
        private final long version;
        private final Map<String, List<RelayRoute>> routesByHost = new HashMap<>();
        private final Map<String, RelayService> services = new HashMap<>();
        private final Map<String, Customer> customersByKey = new HashMap<>();
        private boolean keyed;
        private CallerLimits limits = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

        private Builder(long version) {
            this.version = version;
        }

        /** Adds a route. */
        public Builder route(RelayRoute route) {
            routesByHost
                    .computeIfAbsent(hostName(route.host()), host -> new ArrayList<>())
                    .add(route);
            return this;
        }

        /** Adds a service. */
        public Builder service(RelayService service) {
            services.put(service.name(), service);
            return this;
        }

        /** States that requests need an API key. */
        public Builder keyed() {
            keyed = true;
            return this;
        }

        /** Adds an API key of a customer. */
        public Builder key(String key, Customer customer) {
            customersByKey.put(key, customer);
            return this;
        }

        /** Sets what callers may send. */
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
