package org.endivehold.config;

import java.util.SortedMap;
import org.endivehold.misc.AdapterName;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.ModelName;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;

/**
 * A complete set of configuration objects, indexed by name; to be treated as immutable.
 *
 * @param models models by name
 * @param versions versions by name
 * @param adapters adapters by name
 * @param routes routes by name
 * @param customers customers by name
 * @param zones availability zones by name
 * @param upstreams upstreams by name
 */
public record Configuration(
        SortedMap<ModelName, Model> models,
        SortedMap<VersionName, Version> versions,
        SortedMap<AdapterName, Adapter> adapters,
        SortedMap<RouteName, Route> routes,
        SortedMap<CustomerName, Customer> customers,
        SortedMap<ZoneName, AvailabilityZone> zones,
        SortedMap<UpstreamName, Upstream> upstreams) {}
