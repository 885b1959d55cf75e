package org.endivehold.relay.simulation;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.limit.KnownDaemons;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.route.UpstreamEntry;
import org.endivehold.relay.schedule.EngineDivision;
import org.endivehold.relay.schedule.EngineRequest;
import org.endivehold.relay.schedule.EngineScheduler;
import org.endivehold.relay.schedule.JobReplicator;
import org.endivehold.relay.schedule.LocalScheduler;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;

/** A daemon that decides alone for all engines, with the production scheduler in virtual time. */
final class SchedulerDaemon implements RequestDaemon {
    private static final String NAME = "decider";
    private static final String SERVICE = "engines";

    private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
    private final Map<SimulatedRequest, JobId> submitted = new HashMap<>();
    private final Function<SimulatedRequest, TrafficClass> classes;
    private final JobReplicator jobs;
    private final LocalScheduler scheduler;

    SchedulerDaemon(
            VirtualTime time, EngineProfile profile, int size, Function<SimulatedRequest, TrafficClass> classes) {
        this.classes = classes;
        for (int i = 0; i < size; i++) {
            engines.put("engine-" + i, new SimulatedEngine("engine-" + i, profile, time));
        }
        Ticker ticker = () -> (long) time.now();
        jobs = new JobReplicator(ticker, NAME, message -> {});
        scheduler = new LocalScheduler(
                timersOf(time),
                ticker,
                RandomSource.SPLIT_MIX_64.create(1),
                new EngineFleet(profile),
                new UpstreamHealth(),
                jobs,
                new EngineDivision(KnownDaemons.only(NAME)));
    }

    /** Returns an event loop that has nothing but timers. */
    private static Vertx timersOf(VirtualTime time) {
        return (Vertx) Proxy.newProxyInstance(
                Vertx.class.getClassLoader(), new Class<?>[] {Vertx.class}, (proxy, method, arguments) -> {
                    if (!method.getName().equals("setTimer")) {
                        throw new UnsupportedOperationException(method.toString());
                    }
                    @SuppressWarnings("unchecked")
                    Handler<Long> handler = (Handler<Long>) arguments[1];
                    time.after((Long) arguments[0], () -> handler.handle(0L));
                    return 0L;
                });
    }

    @Override
    public void submit(SimulatedRequest request) {
        JobId id = jobs.nextId();
        submitted.put(request, id);
        EngineRequest submission = new EngineRequest(
                id, SERVICE, request.need().withTraffic(classes.apply(request)), Set.of(), Set.of(), true);
        scheduler.submit(submission, new EngineScheduler.Listener() {
            @Override
            public void placed(EngineJob job, Placement placement) {
                request.placed(
                        job, placement.engines().stream().map(engines::get).toList());
            }

            @Override
            public void refused(double retryAfterMillis) {
                request.refused(retryAfterMillis);
            }
        });
    }

    @Override
    public void firstEvent(SimulatedRequest request) {
        jobs.firstToken(request.job());
    }

    @Override
    public void ended(SimulatedRequest request) {
        JobId id = submitted.remove(request);
        if (request.job() == null) {
            scheduler.withdraw(id);
        } else {
            jobs.end(request.job());
        }
    }

    /** The engines of one service, all of which are usable at all times. */
    private final class EngineFleet implements FleetView {
        private final RoutingTable table;

        EngineFleet(EngineProfile profile) {
            table = RoutingTable.builder(1)
                    .service(new RelayService(SERVICE, "/health", 100, 0, Optional.of(profile)))
                    .build();
        }

        @Override
        public boolean complete() {
            return true;
        }

        @Override
        public Optional<RoutingTable> table() {
            return Optional.of(table);
        }

        @Override
        public double sinceTableConfirmedMillis() {
            return 0;
        }

        @Override
        public Collection<Upstream> upstreams(String service) {
            return engines.keySet().stream()
                    .map(id -> upstream(id).orElseThrow())
                    .toList();
        }

        @Override
        public Collection<Upstream> upstreams() {
            return upstreams(SERVICE);
        }

        @Override
        public Collection<String> services() {
            return List.of(SERVICE);
        }

        @Override
        public Optional<Upstream> upstream(String id) {
            return Optional.of(new Upstream(new UpstreamEntry(id, SERVICE, null, "zone", 8, false, 0, 0), 0));
        }
    }
}
