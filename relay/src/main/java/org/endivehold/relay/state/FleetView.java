package org.endivehold.relay.state;

import java.util.Collection;
import java.util.Optional;
import org.endivehold.relay.route.RoutingTable;

/** What a daemon knows of the fleet at this moment. */
public interface FleetView {
    /** Tells whether a configuration and the list of upstreams are known. */
    boolean complete();

    /** Returns the configuration in force; empty until one is known. */
    Optional<RoutingTable> table();

    /** Returns the usable upstreams of a service: registered, not leaving, in no zone that is taken out. */
    Collection<Upstream> upstreams(String service);

    /** Returns the upstream with an id, whether usable or not. */
    Optional<Upstream> upstream(String id);
}
