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
 * Registry of services. Starts them in dependency order, one after the other, and drains and stops them in reverse.
 *
 * <p>Example: with {@code http} needing {@code config} and {@code config} needing {@code store}, the order of starting
 * is store, config, http; on shutdown http drains first, while store still answers.
 */
public final class Kernel {
    private static final Logger log = Logger.getLogger(Kernel.class);

    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Deque<Service> running = new ArrayDeque<>();

    /**
     * Adds a service before the kernel starts.
     *
     * @param service the service; replaces one of the same name
     * @return this
     */
    public Kernel add(Service service) {
        services.put(service.name(), service);
        return this;
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @param type its class or interface
     * @param <T> its type
     * @return the service
     * @throws EndiveholdException of type {@code SERVICE_MISSING} if none has that name and type
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
     * @param type an interface
     * @param <T> the type
     * @return the services, in the order in which they were added
     */
    public <T> List<T> all(Class<T> type) {
        return services.values().stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    /**
     * Starts all services; on failure stops those that run already.
     *
     * @return when all run; fails with {@code SERVICE_MISSING}, {@code SERVICE_CYCLE}, or a service's own failure
     */
    public Future<Void> start() {
        List<Service> order;
        try {
            order = order();
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
     * Drains and then stops all running services, each in reverse order of starting.
     *
     * @return when all have stopped
     */
    public Future<Void> shutdown() {
        return each(new ArrayList<>(running), "drain", Service::drain).compose(done -> stop());
    }

    private Future<Void> stop() {
        List<Service> order = new ArrayList<>(running);
        running.clear();
        return each(order, "stop", Service::stop);
    }

    private Future<Void> startOne(Service service) {
        return service.start(this).onSuccess(done -> {
            running.push(service);
            log.debugf("event=service-started service=%s", service.name());
        });
    }

    private static Future<Void> each(Collection<Service> order, String step, Function<Service, Future<Void>> call) {
        Future<Void> chain = Future.succeededFuture();
        for (Service service : order) {
            chain = chain.compose(done -> call.apply(service)).recover(failure -> {
                log.warnf("event=service-%s-failed service=%s reason=\"%s\"", step, service.name(), failure);
                return Future.succeededFuture();
            });
        }
        return chain;
    }

    private List<Service> order() throws EndiveholdException {
        List<Service> order = new ArrayList<>();
        Set<String> done = new HashSet<>();
        for (Service service : services.values()) {
            visit(service, new ArrayList<>(), done, order);
        }
        return order;
    }

    private void visit(Service service, List<String> path, Set<String> done, List<Service> order)
            throws EndiveholdException {
        if (done.contains(service.name())) {
            return;
        }
        if (path.contains(service.name())) {
            throw new EndiveholdException(ErrorType.SERVICE_CYCLE, path);
        }
        path.add(service.name());
        for (String need : service.needs()) {
            visit(find(need, Service.class), path, done, order);
        }
        path.remove(service.name());
        done.add(service.name());
        order.add(service);
    }
}
