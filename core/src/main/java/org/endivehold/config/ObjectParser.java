package org.endivehold.config;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.endivehold.misc.AdapterName;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.ModelName;
import org.endivehold.misc.RegionName;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;

/** Builds typed objects from the fields of JSON objects and collects them into a configuration. */
final class ObjectParser {
    private final SortedMap<ModelName, Model> models = new TreeMap<>();
    private final SortedMap<VersionName, Version> versions = new TreeMap<>();
    private final SortedMap<AdapterName, Adapter> adapters = new TreeMap<>();
    private final SortedMap<RouteName, Route> routes = new TreeMap<>();
    private final SortedMap<CustomerName, Customer> customers = new TreeMap<>();
    private final SortedMap<ZoneName, AvailabilityZone> zones = new TreeMap<>();
    private final SortedMap<UpstreamName, Upstream> upstreams = new TreeMap<>();

    void parse(ObjectKind kind, String name, ObjectFields fields) {
        switch (kind) {
            case MODEL -> parseModel(new ModelName(name), fields);
            case VERSION -> parseVersion(new VersionName(name), fields);
            case ADAPTER -> parseAdapter(new AdapterName(name), fields);
            case ROUTE -> parseRoute(new RouteName(name), fields);
            case CUSTOMER -> parseCustomer(new CustomerName(name), fields);
            case AVAILABILITY_ZONE -> parseZone(new ZoneName(name), fields);
            case UPSTREAM -> parseUpstream(new UpstreamName(name), fields);
            default -> throw new IllegalArgumentException(kind.label());
        }
    }

    Configuration configuration() {
        return new Configuration(models, versions, adapters, routes, customers, zones, upstreams);
    }

    private void parseModel(ModelName name, ObjectFields fields) {
        Model model = new Model(name, fields.requiredNumber("maxContextTokens"));
        addIfWellFormed(models, name, model, fields);
    }

    private void parseVersion(VersionName name, ObjectFields fields) {
        ModelName model = fields.requiredName("model", ModelName::new);
        Version version = new Version(name, model, fields.requiredNumber("weightBytes"));
        addIfWellFormed(versions, name, version, fields);
    }

    private void parseAdapter(AdapterName name, ObjectFields fields) {
        Adapter adapter = new Adapter(name, fields.requiredName("version", VersionName::new));
        addIfWellFormed(adapters, name, adapter, fields);
    }

    private void parseRoute(RouteName name, ObjectFields fields) {
        Route.Kind kind = fields.enumValue("type", Route.Kind.values(), Route.Kind.GENERATION);
        Route.Builder route = Route.builder(name, kind);
        fields.optionalName("version", VersionName::new).ifPresent(route::version);
        fields.optionalName("adapter", AdapterName::new).ifPresent(route::adapter);
        fields.text("pathPrefix").ifPresent(route::pathPrefix);
        route.upstreams(fields.names("upstreams", UpstreamName::new));
        route.idempotent(fields.flag("idempotent", true));
        route.requestClass(fields.enumValue("requestClass", RequestClass.values(), RequestClass.INTERACTIVE));
        route.defaultDeadlineMillis(fields.number("defaultDeadlineMillis", Route.DEFAULT_DEADLINE_MILLIS));
        route.maxDeadlineMillis(fields.number("maxDeadlineMillis", Route.DEFAULT_MAX_DEADLINE_MILLIS));
        route.longPromptTokens(fields.number("longPromptTokens", Route.DEFAULT_LONG_PROMPT_TOKENS));
        addIfWellFormed(routes, name, route.build(), fields);
    }

    private void parseCustomer(CustomerName name, ObjectFields fields) {
        Customer.Builder customer = Customer.builder(name);
        customer.keyHashes(fields.texts("keyHashes"));
        customer.weight(fields.integer("weight", Customer.DEFAULT_WEIGHT));
        customer.maxConcurrent(fields.integer("maxConcurrent", Customer.DEFAULT_MAX_CONCURRENT));
        customer.maxQueued(fields.integer("maxQueued", Customer.DEFAULT_MAX_QUEUED));
        addIfWellFormed(customers, name, customer.build(), fields);
    }

    private void parseZone(ZoneName name, ObjectFields fields) {
        RegionName region = fields.requiredName("region", RegionName::new);
        AvailabilityZone.State state =
                fields.enumValue("state", AvailabilityZone.State.values(), AvailabilityZone.State.IN);
        addIfWellFormed(zones, name, new AvailabilityZone(name, region, state), fields);
    }

    private void parseUpstream(UpstreamName name, ObjectFields fields) {
        Upstream.Kind kind = fields.enumValue("type", Upstream.Kind.values(), Upstream.Kind.ENGINE);
        Upstream.Builder upstream = Upstream.builder(name, kind);
        Optional.ofNullable(fields.requiredName("zone", ZoneName::new)).ifPresent(upstream::zone);
        upstream.address(fields.requiredText("address"));
        upstream.port((int) Math.max(-1, Math.min(Integer.MAX_VALUE, fields.requiredNumber("port"))));
        upstream.state(fields.enumValue("state", Upstream.State.values(), Upstream.State.SERVING));
        upstream.versions(new LinkedHashSet<>(fields.names("versions", VersionName::new)));
        int slots = fields.integer("slots", Upstream.DEFAULT_SLOTS);
        upstream.slots(slots);
        upstream.coldSlots(fields.integer("coldSlots", Math.min(slots, Upstream.DEFAULT_COLD_SLOTS)));
        upstream.memoryTokens(fields.number("memoryTokens", 0));
        upstream.prefillTokensPerSecond(fields.number("prefillTokensPerSecond", 0));
        upstream.checksFencing(fields.flag("checksFencing", false));
        addIfWellFormed(upstreams, name, upstream.build(), fields);
    }

    private static <K, V> void addIfWellFormed(SortedMap<K, V> objects, K name, V object, ObjectFields fields) {
        fields.rejectUnknown();
        if (!fields.failed()) {
            objects.put(name, object);
        }
    }
}
