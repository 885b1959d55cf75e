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
 * Grants calls permits for plain services, in order of arrival on each route. Among the upstreams that may get new work
 * and have free capacity, it chooses the one with the fewest outstanding calls of this daemon. A call that finds none
 * waits for a bounded time, in a queue of bounded length.
 */
final class PermitQueue {
    /** Time between attempts to serve waiting calls, since shares grow without notification. */
    private static final long POLL_PERIOD_MILLIS = 20;

    private final DaemonContext context;
    private final ActiveConfiguration config;
    private final Capacity capacity;
    private final Map<UpstreamName, Integer> outstandingCalls = new HashMap<>();
    private final Map<RouteName, Deque<Waiter>> waitersByRoute = new HashMap<>();
    private int waitingCalls;
    private boolean polling;

    PermitQueue(DaemonContext context, ActiveConfiguration config, Capacity capacity) {
        this.context = context;
        this.config = config;
        this.capacity = capacity;
    }

    private record Waiter(RouteName route, Set<UpstreamName> tried, long until, Promise<Permit> promise) {}

    /**
     * Acquires a permit for an upstream of a route, waiting for one if necessary.
     *
     * @param route the route
     * @param tried upstreams to use only if no other has free capacity
     * @param until monotonic time in milliseconds until which the call may wait
     * @return the permit; fails with {@code NO_UPSTREAM} or {@code QUEUE_FULL}
     */
    Future<Permit> take(RouteName route, Set<UpstreamName> tried, long until) {
        if (candidates(route).isEmpty()) {
            return Future.failedFuture(new EndiveholdException(ErrorType.NO_UPSTREAM, route));
        }
        if (!waitersByRoute.containsKey(route)) {
            Optional<Permit> permit = acquire(route, tried);
            if (permit.isPresent()) {
                return Future.succeededFuture(permit.get());
            }
        }
        if (waitingCalls >= context.settings().limits().maxQueued()) {
            return Future.failedFuture(new EndiveholdException(ErrorType.QUEUE_FULL, "plain"));
        }
        Waiter waiter = new Waiter(route, Set.copyOf(tried), until, Promise.promise());
        waitersByRoute.computeIfAbsent(route, name -> new ArrayDeque<>()).add(waiter);
        waitingCalls++;
        schedulePoll();
        return waiter.promise().future();
    }

    /**
     * Releases a permit, once the upstream no longer works on the call.
     *
     * @param permit the permit
     */
    void release(Permit permit) {
        outstandingCalls.computeIfPresent(permit.upstream(), (name, count) -> count > 1 ? count - 1 : null);
        capacity.release(permit, context.ticker().millis());
        serveAll();
    }

    /**
     * Returns whether an upstream may still get new work of a route; this may have changed since the permit was
     * acquired.
     *
     * @param route the route
     * @param upstream the upstream
     * @return true if it may
     */
    boolean mayUse(RouteName route, UpstreamName upstream) {
        return candidates(route).contains(upstream);
    }

    /**
     * Reports evidence that an upstream has failed or restarted.
     *
     * @param upstream the upstream
     */
    void suspect(UpstreamName upstream) {
        capacity.suspect(upstream, context.ticker().millis());
    }

    /** Returns the number of calls that wait for a permit. */
    int waitingCalls() {
        return waitingCalls;
    }

    private void schedulePoll() {
        if (!polling && waitingCalls > 0) {
            polling = true;
            context.vertx().setTimer(POLL_PERIOD_MILLIS, timer -> {
                polling = false;
                serveAll();
                schedulePoll();
            });
        }
    }

    private void serveAll() {
        for (RouteName route : new ArrayList<>(waitersByRoute.keySet())) {
            serve(route, waitersByRoute.get(route));
        }
    }

    private void serve(RouteName route, Deque<Waiter> queue) {
        List<Runnable> completions = new ArrayList<>();
        expire(queue, completions);
        while (!queue.isEmpty()) {
            Waiter first = queue.peek();
            Optional<Permit> permit = acquire(route, first.tried());
            if (permit.isEmpty()) {
                break;
            }
            queue.remove();
            waitingCalls--;
            completions.add(() -> first.promise().complete(permit.get()));
        }
        if (queue.isEmpty()) {
            waitersByRoute.remove(route);
        }
        completions.forEach(Runnable::run);
    }

    private void expire(Deque<Waiter> queue, List<Runnable> completions) {
        long now = context.ticker().millis();
        for (Iterator<Waiter> waiters = queue.iterator(); waiters.hasNext(); ) {
            Waiter waiter = waiters.next();
            if (now >= waiter.until()) {
                waiters.remove();
                waitingCalls--;
                completions.add(
                        () -> waiter.promise().fail(new EndiveholdException(ErrorType.NO_UPSTREAM, waiter.route())));
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
                .thenComparing(name -> outstandingCalls.getOrDefault(name, 0)));
        long now = context.ticker().millis();
        for (UpstreamName upstream : order) {
            Optional<Permit> permit = capacity.acquire(upstream, 0, now);
            if (permit.isPresent()) {
                outstandingCalls.merge(upstream, 1, Integer::sum);
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
