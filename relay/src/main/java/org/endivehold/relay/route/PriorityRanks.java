package org.endivehold.relay.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The ranks that follow from the priorities of routes and customers, for each service.
 *
 * <p>Requests of a service are told apart only if its routes have several priorities: the operators then say that some
 * of its work is more urgent. With one priority for all routes, every request has the default class, and customers are
 * not told apart either.
 *
 * <p>Example: the routes of a service have the priorities 0, 1 and 2, and of three customers one has priority 0 and two
 * have 1. Smaller numbers are more urgent, so a request on the route with priority 0 has route rank 2, the number of
 * less urgent priorities; the first customer has rank 1, the others 0.
 */
final class PriorityRanks {
    private final Map<String, SortedSet<Integer>> routePriorities = new HashMap<>();
    private final SortedSet<Integer> customerPriorities = new TreeSet<>();

    PriorityRanks(Collection<RelayRoute> routes, Collection<Customer> customers) {
        for (RelayRoute route : routes) {
            for (ServiceShare share : route.services()) {
                routePriorities
                        .computeIfAbsent(share.service(), service -> new TreeSet<>())
                        .add(route.priority());
            }
        }
        customers.stream()
                .map(Customer::priority)
                .filter(OptionalInt::isPresent)
                .forEach(priority -> customerPriorities.add(priority.getAsInt()));
    }

    /** Returns the class of a request; the default class if the routes to the service have one priority. */
    TrafficClass trafficClass(String service, RelayRoute route, Optional<Customer> customer) {
        SortedSet<Integer> priorities = routePriorities.get(service);
        if (priorities == null || priorities.size() < 2) {
            return TrafficClass.DEFAULT;
        }
        OptionalInt customerPriority = customer.map(Customer::priority).orElse(OptionalInt.empty());
        int customerRank = customerPriority.isPresent() ? rank(customerPriorities, customerPriority.getAsInt()) : 0;
        return new TrafficClass(
                customer.map(Customer::name).orElse(""), customerRank, rank(priorities, route.priority()));
    }

    /** Returns the number of priorities that are less urgent, which are the higher numbers. */
    private static int rank(SortedSet<Integer> priorities, int priority) {
        return priorities.tailSet(priority).size() - 1;
    }
}
