package org.endivehold.daemon.request;

import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationListener;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Customer;
import org.endivehold.config.RequestClass;
import org.endivehold.config.Route;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.RegionName;
import org.endivehold.misc.Revision;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;

/** A configuration with two plain services in two availability zones, and an idempotent and a non-idempotent route. */
final class FakeConfiguration implements Service, ActiveConfiguration {
    static final CustomerName PAYROLL = new CustomerName("payroll");
    static final UpstreamName FIRST = new UpstreamName("records-1");
    static final UpstreamName SECOND = new UpstreamName("records-2");
    static final Route CONFIRM = route("confirm", false);
    static final Route BALANCE = route("balance", true);

    AvailabilityZone.State firstZone = AvailabilityZone.State.IN;
    Upstream.State secondState = Upstream.State.SERVING;

    private static Route route(String name, boolean idempotent) {
        return new Route(
                new RouteName(name),
                Route.Kind.PLAIN,
                Optional.empty(),
                Optional.empty(),
                Optional.of("/" + name),
                List.of(FIRST, SECOND),
                idempotent,
                RequestClass.INTERACTIVE,
                1_000,
                10_000,
                0);
    }

    private static AvailabilityZone zone(String name, AvailabilityZone.State state) {
        return new AvailabilityZone(new ZoneName(name), new RegionName("region"), state);
    }

    private static Upstream upstream(UpstreamName name, String zone, Upstream.State state) {
        return new Upstream(
                name, Upstream.Kind.PLAIN, new ZoneName(zone), "127.0.0.1", 1, state, Set.of(), 2, 1, 0, 0, true);
    }

    @Override
    public Optional<ConfigurationSnapshot> current() {
        Configuration objects = new Configuration(
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>());
        objects.routes().put(CONFIRM.name(), CONFIRM);
        objects.routes().put(BALANCE.name(), BALANCE);
        objects.customers().put(PAYROLL, new Customer(PAYROLL, List.of(), 1, 2, 1));
        objects.zones().put(new ZoneName("a"), zone("a", firstZone));
        objects.zones().put(new ZoneName("b"), zone("b", AvailabilityZone.State.IN));
        objects.upstreams().put(FIRST, upstream(FIRST, "a", Upstream.State.SERVING));
        objects.upstreams().put(SECOND, upstream(SECOND, "b", secondState));
        return Optional.of(new ConfigurationSnapshot(new Revision(1), "digest", objects));
    }

    @Override
    public void listen(ConfigurationListener listener) {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        return Future.succeededFuture();
    }
}
