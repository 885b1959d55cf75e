package org.endivehold.daemon.request;

import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.grant.Capacity;
import org.endivehold.placement.PlacementPolicy;

/**
 * What every generation run uses.
 *
 * @param context the daemon's context
 * @param configuration the configuration in force
 * @param capacity what this daemon may use of the upstreams
 * @param upstreams adapters of the engines
 * @param policy chooses among candidates
 * @param metrics histograms
 */
record GenerationResources(
        DaemonContext context,
        ActiveConfiguration configuration,
        Capacity capacity,
        UpstreamDirectory upstreams,
        PlacementPolicy policy,
        GenerationMetrics metrics) {
    /**
     * Reads the clock.
     *
     * @return monotonic time in milliseconds
     */
    long now() {
        return context.ticker().millis();
    }
}
