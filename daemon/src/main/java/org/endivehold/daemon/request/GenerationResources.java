package org.endivehold.daemon.request;

import java.util.List;
import java.util.Optional;
import org.endivehold.admission.ServiceTimeEstimator;
import org.endivehold.capacity.Capacity;
import org.endivehold.capacity.Permit;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.misc.RequestId;
import org.endivehold.placement.PlacementPolicy;
import org.endivehold.stream.RetryBudget;
import org.endivehold.upstream.ResourceOwner;

/**
 * Services, estimators and identifiers shared by all generation runs of the daemon.
 *
 * @param context the daemon's context
 * @param activeConfiguration gives the configuration in force
 * @param capacity what this daemon may use of the upstreams
 * @param upstreams gives the adapters of the engines
 * @param placementPolicy chooses an engine among candidates
 * @param metrics histograms of the requests
 * @param retryBudget limits retries to a fraction of the first attempts
 * @param serviceTimes predicts how long a request takes once it has started
 * @param streamIds generates the identifiers of new streams
 * @param onRelease called after permits were released
 */
record GenerationResources(
        DaemonContext context,
        ActiveConfiguration activeConfiguration,
        Capacity capacity,
        UpstreamDirectory upstreams,
        PlacementPolicy placementPolicy,
        GenerationMetrics metrics,
        RetryBudget retryBudget,
        ServiceTimeEstimator serviceTimes,
        StreamIdGenerator streamIds,
        Runnable onRelease) {
    /**
     * Reads the clock.
     *
     * @return monotonic time in milliseconds
     */
    long now() {
        return context.ticker().millis();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty before the first configuration
     */
    Optional<Configuration> currentConfiguration() {
        return activeConfiguration.current().map(ConfigurationSnapshot::configuration);
    }

    /**
     * Releases permits, and reports that capacity may be free.
     *
     * @param permits the permits
     */
    void release(List<Permit> permits) {
        for (Permit permit : permits) {
            capacity.release(permit, now());
        }
        onRelease.run();
    }

    /**
     * Adds a decision to the trace of a request.
     *
     * @param request the request
     * @param step what was decided
     * @param detail key=value pairs
     */
    void note(RequestId request, String step, String detail) {
        context.trace().note(request, step, detail);
    }

    /**
     * Returns the owner recorded with streams and caches that this process creates.
     *
     * @return host and incarnation of this daemon
     */
    ResourceOwner owner() {
        return new ResourceOwner(context.settings().host(), context.incarnation());
    }
}
