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
import org.endivehold.upstream.StreamOwner;

/**
 * What every generation run uses.
 *
 * @param context the daemon's context
 * @param configuration the configuration in force
 * @param capacity what this daemon may use of the upstreams
 * @param upstreams adapters of the engines
 * @param policy chooses among candidates
 * @param metrics histograms
 * @param budget bounds retries
 * @param times predicts service times
 * @param streams names new streams
 * @param onRelease runs when capacity became free
 */
record GenerationResources(
        DaemonContext context,
        ActiveConfiguration configuration,
        Capacity capacity,
        UpstreamDirectory upstreams,
        PlacementPolicy policy,
        GenerationMetrics metrics,
        RetryBudget budget,
        ServiceTimeEstimator times,
        StreamNames streams,
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
     * Returns the objects of the configuration in force.
     *
     * @return the objects, or empty before the first configuration
     */
    Optional<Configuration> objects() {
        return configuration.current().map(ConfigurationSnapshot::configuration);
    }

    /**
     * Gives permits back.
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
     * Returns this process as the owner of streams.
     *
     * @return the owner
     */
    StreamOwner owner() {
        return new StreamOwner(context.settings().host(), context.incarnation());
    }
}
