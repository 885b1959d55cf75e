package org.endivehold.daemon.request;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.endivehold.capacity.Capacity;
import org.endivehold.capacity.Permit;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.UpstreamName;
import org.endivehold.placement.PlainCandidates;

/**
 * Gives permits for plain services to calls, in order of arrival for each route. Among the upstreams that may get new
 * work and have capacity left, the one with the least outstanding calls of this daemon is chosen. A call that finds
 * none waits, for a bounded time and together with a bounded number of others.
 */
final class PermitQueue {
    private static final long POLL_MILLIS = 20;

    private final DaemonContext context;
    private final ActiveConfiguration config;
    private final Capacity capacity;
    private final Map<UpstreamName, Integer> outstanding = new HashMap<>();
    private final Map<RouteName, Deque<Waiter>> routes = new HashMap<>();
    private int waiting;
    private boolean polling;

    PermitQueue(DaemonContext context, ActiveConfiguration config, Capacity capacity) {
        this.context = context;
        this.config = config;
        this.capacity = capacity;
    }

    private record Waiter(RouteName route, Set<UpstreamName> tried, long until, Promise<Permit> promise) {}

    /**
     * Takes a permit for an upstream of a route.
     *
     * @param route the route
     * @param tried upstreams to avoid while there are others
     * @param until monotonic time in milliseconds until which the call may wait
     * @return the permit; fails with {@code NO_UPSTREAM} or {@code QUEUE_FULL}
     */
    Future<Permit> take(RouteName route, Set<UpstreamName> tried, long until) {
        if (candidates(route).isEmpty()) {
            return Future.failedFuture(new EndiveholdException(ErrorType.NO_UPSTREAM, route));
        }
        if (!routes.containsKey(route)) {
            Optional<Permit> permit = acquire(route, tried);
            if (permit.isPresent()) {
                return Future.succeededFuture(permit.get());
            }
        }
        if (waiting >= context.settings().limits().maxQueued()) {
            return Future.failedFuture(new EndiveholdException(ErrorType.QUEUE_FULL, "plain"));
        }
        Waiter waiter = new Waiter(route, Set.copyOf(tried), until, Promise.promise());
        routes.computeIfAbsent(route, name -> new ArrayDeque<>()).add(waiter);
        waiting++;
        schedule();
        return waiter.promise().future();
    }

    /**
     * Gives a permit back once the upstream has nothing left of the call.
     *
     * @param permit the permit
     */
    void release(Permit permit) {
        outstanding.computeIfPresent(permit.upstream(), (name, count) -> count > 1 ? count - 1 : null);
        capacity.release(permit, context.ticker().millis());
        serveAll();
    }

    /**
     * Tells whether an upstream may still get new work of a route, which may have changed since the permit was taken.
     *
     * @param route the route
     * @param upstream the upstream
     * @return true if it may
     */
    boolean mayUse(RouteName route, UpstreamName upstream) {
        return candidates(route).contains(upstream);
    }

    /**
     * Tells of evidence that an upstream started again or fails.
     *
     * @param upstream the upstream
     */
    void suspect(UpstreamName upstream) {
        capacity.suspect(upstream, context.ticker().millis());
    }

    /** Returns the number of calls that wait. */
    int waiting() {
        return waiting;
    }

    private void schedule() {
        if (!polling && waiting > 0) {
            polling = true;
            context.vertx().setTimer(POLL_MILLIS, timer -> {
                polling = false;
                serveAll();
                schedule();
            });
        }
    }

    private void serveAll() {
        for (RouteName route : new ArrayList<>(routes.keySet())) {
            serve(route, routes.get(route));
        }
    }

    private void serve(RouteName route, Deque<Waiter> queue) {
        List<Runnable> ends = new ArrayList<>();
        expire(queue, ends);
        while (!queue.isEmpty()) {
            Waiter first = queue.peek();
            Optional<Permit> permit = acquire(route, first.tried());
            if (permit.isEmpty()) {
                break;
            }
            queue.remove();
            waiting--;
            ends.add(() -> first.promise().complete(permit.get()));
        }
        if (queue.isEmpty()) {
            routes.remove(route);
        }
        ends.forEach(Runnable::run);
    }

    private void expire(Deque<Waiter> queue, List<Runnable> ends) {
        long now = context.ticker().millis();
        for (Iterator<Waiter> each = queue.iterator(); each.hasNext(); ) {
            Waiter waiter = each.next();
            if (now >= waiter.until()) {
                each.remove();
                waiting--;
                ends.add(() -> waiter.promise().fail(new EndiveholdException(ErrorType.NO_UPSTREAM, waiter.route())));
            }
        }
    }

    private Optional<Permit> acquire(RouteName route, Set<UpstreamName> tried) {
        List<UpstreamName> order = new ArrayList<>(candidates(route));
        if (order.isEmpty()) {
            return Optional.empty();
        }
        Collections.rotate(order, context.random().nextInt(order.size()));
        order.sort(Comparator.<UpstreamName, Boolean>comparing(tried::contains)
                .thenComparing(name -> outstanding.getOrDefault(name, 0)));
        long now = context.ticker().millis();
        for (UpstreamName upstream : order) {
            Optional<Permit> permit = capacity.acquire(upstream, 0, now);
            if (permit.isPresent()) {
                outstanding.merge(upstream, 1, Integer::sum);
                return permit;
            }
        }
        return Optional.empty();
    }

    private List<UpstreamName> candidates(RouteName route) {
        return config.current()
                .map(snapshot -> PlainCandidates.of(snapshot.configuration(), route))
                .orElse(List.of());
    }
}
