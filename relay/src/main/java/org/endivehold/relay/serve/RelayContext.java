package org.endivehold.relay.serve;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.ColdLimit;
import org.endivehold.relay.limit.RetryShare;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.schedule.EngineScheduler;
import org.endivehold.relay.schedule.EngineWork;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;

/**
 * What requests are served with.
 *
 * @param vertx the event loop
 * @param ticker the clock
 * @param random source of weights and jitter
 * @param fleet what is known of the fleet
 * @param dialect how headers are named
 * @param orders orders to engines
 * @param bounds limits of this deployment
 * @param engines work at engines, here and at other daemons
 * @param scheduler decides when and on which engines requests run
 * @param health what own requests show of upstreams
 * @param cold share of the limit on cold upstreams
 * @param retries share of the retry budget
 * @param daemons other daemons
 * @param metrics counters and histograms
 */
public record RelayContext(
        Vertx vertx,
        Ticker ticker,
        UniformRandomProvider random,
        FleetView fleet,
        Dialect dialect,
        EngineOrders orders,
        RelayBounds bounds,
        EngineWork engines,
        EngineScheduler scheduler,
        UpstreamHealth health,
        ColdLimit cold,
        RetryShare retries,
        DaemonCount daemons,
        RelayMetrics metrics) {
    double now() {
        return ticker.millis();
    }

    /** Returns the cold upstreams of a service that may get one more request from this daemon. */
    Set<String> coldAllowed(RelayService service) {
        Set<String> allowed = new HashSet<>();
        for (Upstream upstream : fleet.upstreams(service.name())) {
            if (upstream.cold(now()) && coldAllows(service, upstream)) {
                allowed.add(upstream.id());
            }
        }
        return allowed;
    }

    /** Tells whether a cold upstream may get one more request from this daemon. */
    boolean coldAllows(RelayService service, Upstream upstream) {
        double bound = service.coldPerSecond() * bounds.coldOverage() + bounds.coldSlack();
        return service.coldPerSecond() <= 0
                || cold.allows(upstream.id(), bound, daemons.names(), daemons.spare(), now());
    }
}
