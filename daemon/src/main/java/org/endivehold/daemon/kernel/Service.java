package org.endivehold.daemon.kernel;

import io.vertx.core.Future;
import java.util.Set;

/** A part of the daemon that others find by name. */
public interface Service {
    /**
     * Returns the name under which the kernel keeps the service.
     *
     * @return a word such as {@code peers}
     */
    String name();

    /**
     * Returns the names of the services that have to run before this one starts.
     *
     * @return the names
     */
    default Set<String> needs() {
        return Set.of();
    }

    /**
     * Starts the service.
     *
     * @param kernel finds other services
     * @return when it runs
     */
    Future<Void> start(Kernel kernel);

    /**
     * Lets work in progress end and takes no new work; called on all services, in reverse order, before any stops.
     *
     * @return when no work is left
     */
    default Future<Void> drain() {
        return Future.succeededFuture();
    }

    /**
     * Stops the service and frees what it holds.
     *
     * @return when it has stopped
     */
    Future<Void> stop();
}
