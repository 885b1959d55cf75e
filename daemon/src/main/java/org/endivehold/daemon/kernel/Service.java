package org.endivehold.daemon.kernel;

import io.vertx.core.Future;
import java.util.Set;

/** A component of the daemon with a life cycle, which other components find by name. */
public interface Service {
    /**
     * Returns the name under which the service is registered in the kernel.
     *
     * @return the unique name, such as {@code peers}
     */
    String name();

    /**
     * Returns the names of the services that must be running before this one starts.
     *
     * @return the names of the dependencies
     */
    default Set<String> dependencies() {
        return Set.of();
    }

    /**
     * Starts the service. All its dependencies are running at this time.
     *
     * @param kernel the registry to look up other services in
     * @return completes when the service runs
     */
    Future<Void> start(Kernel kernel);

    /**
     * Stops accepting new work and waits for the work in progress. All services are drained, in reverse start order,
     * before the first one is stopped.
     *
     * @return completes when no work is left
     */
    default Future<Void> drain() {
        return Future.succeededFuture();
    }

    /**
     * Stops the service and releases its resources.
     *
     * @return completes when the service has stopped
     */
    Future<Void> stop();
}
