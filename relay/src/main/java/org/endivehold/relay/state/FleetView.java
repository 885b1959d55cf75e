package org.endivehold.relay.state;

import java.util.Collection;
import java.util.Optional;
import org.endivehold.relay.route.RoutingTable;

/** Read access to the current state of the fleet. */
public interface FleetView {
    /** Returns whether a configuration and the list of upstreams have been read. */
    boolean complete();

    /** Returns the configuration in force; empty until one has been read. */
    Optional<RoutingTable> table();

    /** Returns the time since the configuration was last confirmed to be the newest one, in milliseconds. */
    double sinceTableConfirmedMillis();

    /** Returns the usable upstreams of a service: registered, not leaving, and in no evacuated availability zone. */
    Collection<Upstream> upstreams(String service);

    /** Returns the usable upstreams of all services. */
    Collection<Upstream> upstreams();

    /** Returns the names of the services that have usable upstreams. */
    Collection<String> services();

    /** Returns the upstream with an id, whether usable or not; empty if it is not registered. */
    Optional<Upstream> upstream(String id);
}
