package org.endivehold.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.ReadinessCheck;

/** Tells whether the balancer should send requests to this daemon. */
final class Readiness {
    private final Kernel kernel;
    private final ActiveConfiguration configuration;
    private boolean draining;

    Readiness(Kernel kernel, ActiveConfiguration configuration) {
        this.kernel = kernel;
        this.configuration = configuration;
    }

    /** From now on the daemon is not ready. */
    void drain() {
        draining = true;
    }

    /**
     * Lists what stands in the way.
     *
     * @return reasons; empty if the daemon is ready
     */
    List<String> reasons() {
        List<String> reasons = new ArrayList<>();
        if (draining) {
            reasons.add("shutting down");
        }
        if (configuration.current().isEmpty()) {
            reasons.add("no configuration is in force");
        }
        kernel.all(ReadinessCheck.class).stream()
                .map(ReadinessCheck::notReady)
                .flatMap(Optional::stream)
                .forEach(reasons::add);
        return reasons;
    }
}
