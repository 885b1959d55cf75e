package org.endivehold.relay.route;

import java.util.Comparator;

/**
 * Whose request it is, and how urgent it is beside the other requests of its service.
 *
 * <p>Urgency is a pair of ranks, counted from the least urgent. The rank of the customer goes before that of the route:
 * of two requests, the one with the higher customer rank is the more urgent, whatever their routes. Ranks are positions
 * among the priorities that are configured, so that priorities 0, 1 and 2 and priorities 0, 10 and 900 mean the same.
 *
 * @param customer name of the customer; empty if requests of this service are not told apart by customer
 * @param customerRank number of lower priorities that other customers have; 0 is the least urgent
 * @param routeRank number of lower priorities that other routes to the service have; 0 is the least urgent
 */
public record TrafficClass(String customer, int customerRank, int routeRank) {
    /** The class of all requests of a service whose routes have one priority. */
    public static final TrafficClass DEFAULT = new TrafficClass("", 0, 0);

    /** Orders classes by urgency, the most urgent first. */
    public static final Comparator<TrafficClass> MOST_URGENT_FIRST = Comparator.comparingInt(TrafficClass::customerRank)
            .thenComparingInt(TrafficClass::routeRank)
            .reversed();

    /** Highest rank: it bounds the cost factor, however many priorities are configured. */
    public static final int MAX_RANK = 3;
    /** Limits the ranks to {@link #MAX_RANK}. */
    public TrafficClass {
        customerRank = Math.max(0, Math.min(MAX_RANK, customerRank));
        routeRank = Math.max(0, Math.min(MAX_RANK, routeRank));
    }

    /**
     * Returns how many times more it costs to serve a request late than one of the same size with the lowest ranks:
     * each rank doubles the cost.
     */
    public double costFactor() {
        return 1 << (customerRank + routeRank);
    }

    /** The methods that the compiler generates for records link method handles, which takes time at a start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof TrafficClass that
                && customer.equals(that.customer)
                && customerRank == that.customerRank
                && routeRank == that.routeRank;
    }

    @Override
    public int hashCode() {
        return (31 * customer.hashCode() + customerRank) * 31 + routeRank;
    }
}
