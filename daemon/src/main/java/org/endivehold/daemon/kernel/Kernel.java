package org.endivehold.daemon.kernel;

import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.jboss.logging.Logger;

/**
 * Registry of services. Starts them one at a time in dependency order, and drains and stops them in reverse order.
 *
 * <p>Example: if {@code http} depends on {@code config} and {@code config} on {@code store}, the start order is store,
 * config, http. On shutdown, http drains first, while store is still available.
 */
public final class Kernel {
    private static final Logger log = Logger.getLogger(Kernel.class);

    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Deque<Service> running = new ArrayDeque<>();

    /**
     * Adds a service. Must be called before {@link #start()}.
     *
     * @param service the service; replaces a service with the same name
     * @return this kernel
     */
    public Kernel add(Service service) {
        services.put(service.name(), service);
        return this;
    }

    /**
     * Finds a service by name.
     *
     * @param name the service name
     * @param type the class or interface that the service must have
     * @param <T> the service type
     * @return the service
     * @throws EndiveholdException of type {@code SERVICE_MISSING} if no service has this name and type
     */
    public <T> T find(String name, Class<T> type) throws EndiveholdException {
        Service found = services.get(name);
        if (!type.isInstance(found)) {
            throw new EndiveholdException(ErrorType.SERVICE_MISSING, name);
        }
        return type.cast(found);
    }

    /**
     * Finds all services of a type.
     *
     * @param type the class or interface to look for
     * @param <T> the service type
     * @return the services, in the order in which they were added; empty if there are none
     */
    public <T> List<T> findAll(Class<T> type) {
        return services.values().stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    /**
     * Starts all services. If one fails to start, stops those that are already running.
     *
     * @return completes when all services run; fails with {@code SERVICE_MISSING}, {@code SERVICE_CYCLE}, or the
     *     failure of the service that did not start
     */
    public Future<Void> start() {
        List<Service> order;
        try {
            order = dependencyOrder();
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        Future<Void> chain = Future.succeededFuture();
        for (Service service : order) {
            chain = chain.compose(done -> startOne(service));
        }
        return chain.recover(failure -> stop().transform(stopped -> Future.failedFuture(failure)));
    }

    /**
     * Drains all running services and then stops them, both in reverse start order. A failure of one service is logged
     * and does not keep the others from stopping.
     *
     * @return completes when all services have stopped
     */
    public Future<Void> shutdown() {
        return callInOrder(new ArrayList<>(running), "drain", Service::drain).compose(done -> stop());
    }

    private Future<Void> stop() {
        List<Service> order = new ArrayList<>(running);
        running.clear();
        return callInOrder(order, "stop", Service::stop);
    }

    private Future<Void> startOne(Service service) {
        return service.start(this).onSuccess(done -> {
            running.push(service);
            log.debugf("event=service-started service=%s", service.name());
        });
    }

    private static Future<Void> callInOrder(
            Collection<Service> order, String step, Function<Service, Future<Void>> call) {
        Future<Void> chain = Future.succeededFuture();
        for (Service service : order) {
            chain = chain.compose(done -> call.apply(service)).recover(failure -> {
                log.warnf("event=service-%s-failed service=%s reason=\"%s\"", step, service.name(), failure);
                return Future.succeededFuture();
            });
        }
        return chain;
    }

    private List<Service> dependencyOrder() throws EndiveholdException {
        List<Service> order = new ArrayList<>();
        Set<String> done = new HashSet<>();
        for (Service service : services.values()) {
            visit(service, new ArrayList<>(), done, order);
        }
        return order;
    }

    /** Appends the dependencies of a service and then the service itself to the order (depth-first). */
    private void visit(Service service, List<String> path, Set<String> done, List<Service> order)
            throws EndiveholdException {
        if (done.contains(service.name())) {
            return;
        }
        if (path.contains(service.name())) {
            throw new EndiveholdException(ErrorType.SERVICE_CYCLE, path);
        }
        path.add(service.name());
        for (String dependency : service.dependencies()) {
            visit(find(dependency, Service.class), path, done, order);
        }
        path.remove(service.name());
        done.add(service.name());
        order.add(service);
    }
}
