package org.endivehold.relay.serve;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.http.InvalidAnswerException;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.ColdLimit;
import org.endivehold.relay.limit.DaemonCount;
import org.endivehold.relay.limit.RetryShare;
import org.endivehold.relay.limit.UpstreamAvailability;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.path.Neighbours;
import org.endivehold.relay.path.PathMonitor;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.schedule.EngineScheduler;
import org.endivehold.relay.schedule.JobReplicator;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * Components and settings that the request handlers share.
 *
 * @param vertx runs the timers
 * @param ticker clock of all times in milliseconds
 * @param random random numbers for the choice by weights and for jitter
 * @param fleet configuration and upstreams that this daemon knows
 * @param headerCodec reads and writes the headers of requests and responses
 * @param engineMemory reserves and releases memory at engines
 * @param bounds limits of this deployment
 * @param engineWork requests at engines, of this daemon and of others
 * @param scheduler decides when and on which engines generation requests run
 * @param health failures and speed of upstreams, as this daemon's requests and reports of other daemons show them
 * @param availability why upstreams may not get new work
 * @param paths which upstreams this daemon reaches
 * @param neighbours by way of which daemon a request is sent that this one cannot deliver
 * @param crashes finds out whether upstreams ended under attempts that were lost
 * @param trafficListener is notified of new work for upstreams and of their answers
 * @param coldLimit this daemon's share of the request rate of cold upstreams
 * @param retryShare this daemon's share of the retry budget
 * @param daemons daemons among which such limits are divided
 * @param bodies the bodies that are held in memory
 * @param metrics counters and histograms of requests
 */
public record RelayContext(
        Vertx vertx,
        Ticker ticker,
        UniformRandomProvider random,
        FleetView fleet,
        Dialect headerCodec,
        EngineMemoryClient engineMemory,
        RelayBounds bounds,
        JobReplicator engineWork,
        EngineScheduler scheduler,
        UpstreamHealth health,
        UpstreamAvailability availability,
        PathMonitor paths,
        Neighbours neighbours,
        CrashMonitor crashes,
        UpstreamTrafficListener trafficListener,
        ColdLimit coldLimit,
        RetryShare retryShare,
        DaemonCount daemons,
        HeldBodies bodies,
        RelayMetrics metrics) {
    private static final Logger log = Logger.getLogger(RelayContext.class);

    double now() {
        return ticker.millis();
    }

    /** Returns the version of the configuration in force; the smallest number if there is none. */
    long tableVersion() {
        return fleet.table().map(RoutingTable::version).orElse(Long.MIN_VALUE);
    }

    /**
     * Returns the traffic class of a request: its customer, and its urgency relative to other requests of the service.
     */
    TrafficClass trafficClass(RelayService service, Exchange exchange) {
        return fleet.table()
                .map(table -> table.trafficClass(service.name(), exchange.route(), exchange.customer()))
                .orElse(TrafficClass.DEFAULT);
    }

    /** Records that an upstream failed; if this daemon's own paths are at fault, that says nothing of the upstream. */
    void recordFailure(String upstream) {
        if (paths.areOpen()) {
            health.recordFailure(upstream, now());
        }
    }

    /** Logs and counts an answer that is none; {@code source} is what sent it. */
    void recordInvalidAnswer(String request, String source, InvalidAnswerException invalid) {
        invalid.event(request, source).warn(log);
        metrics.invalidAnswer(invalid);
    }

    /** Returns the ids of a service's cold upstreams to which this daemon may send one more request now. */
    Set<String> coldUpstreamsWithCapacity(RelayService service) {
        Set<String> allowed = new HashSet<>();
        for (Upstream upstream : fleet.upstreams(service.name())) {
            if (upstream.cold(now()) && coldUpstreamHasCapacity(service, upstream)) {
                allowed.add(upstream.id());
            }
        }
        return allowed;
    }

    /** Records that new work is about to be sent to an upstream. */
    void recordSending(Upstream upstream) {
        if (upstream.cold(now())) {
            coldLimit.recordSent(upstream.id(), now());
        }
        trafficListener.sending(upstream);
    }

    /** Returns the ids of a service's upstreams that want no request from this daemon now. */
    Set<String> pausedUpstreams(RelayService service) {
        Set<String> ids = new HashSet<>();
        for (Upstream upstream : fleet.upstreams(service.name())) {
            if (availability.pauseMillis(upstream.entry(), now()) > 0) {
                ids.add(upstream.id());
            }
        }
        return ids;
    }

    /** Returns whether an upstream must not get new work from this daemon. */
    boolean isBarred(Upstream upstream) {
        return availability.isBarred(upstream.entry(), now());
    }

    /**
     * Returns the time until the first upstream of a service may get a request of this daemon again, in milliseconds; 0
     * if there is one that may, or no upstream at all.
     */
    double shortestPauseMillis(RelayService service) {
        double shortest = Double.POSITIVE_INFINITY;
        for (Upstream upstream : fleet.upstreams(service.name())) {
            shortest = Math.min(shortest, availability.pauseMillis(upstream.entry(), now()));
        }
        return Double.isInfinite(shortest) ? 0 : shortest;
    }

    /** Returns whether this daemon may send one more request to a cold upstream now. */
    boolean coldUpstreamHasCapacity(RelayService service, Upstream upstream) {
        double maxPerSecond = service.coldPerSecond() * bounds.coldOverage() + bounds.coldSlack();
        return service.coldPerSecond() <= 0
                || coldLimit.allows(upstream.id(), maxPerSecond, daemons.names(), daemons.unknownDaemons(), now());
    }
}
