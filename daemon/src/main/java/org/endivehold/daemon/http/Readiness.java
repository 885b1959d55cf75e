package org.endivehold.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.ReadinessCheck;

/** Determines whether load balancers should send requests to this daemon. */
final class Readiness {
    private final Kernel kernel;
    private final ActiveConfiguration configuration;
    private boolean draining;

    Readiness(Kernel kernel, ActiveConfiguration configuration) {
        this.kernel = kernel;
        this.configuration = configuration;
    }

    /** Marks the daemon as not ready until the process ends. */
    void drain() {
        draining = true;
    }

    /**
     * Lists the reasons why the daemon is not ready.
     *
     * @return the reasons; empty if the daemon is ready
     */
    List<String> reasons() {
        List<String> reasons = new ArrayList<>();
        if (draining) {
            reasons.add("shutting down");
        }
        if (configuration.current().isEmpty()) {
            reasons.add("no configuration is in force");
        }
        kernel.findAll(ReadinessCheck.class).stream()
                .map(ReadinessCheck::notReady)
                .flatMap(Optional::stream)
                .forEach(reasons::add);
        return reasons;
    }
}
