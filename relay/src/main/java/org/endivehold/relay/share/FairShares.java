package org.endivehold.relay.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts what each customer has taken of the engines, so that those that want more than there is get equal shares.
 *
 * <p>This is start-time fair queueing. Each customer has a counter of the cost of its placed requests, and the customer
 * with the smallest counter goes first. A customer that always has requests waiting is never passed over while its
 * counter is the smallest, so the counters of all such customers stay within one request of each other. A customer that
 * wants less than its share has its counter behind the others and is served at once; what it leaves goes to the others
 * equally. This is max-min fairness.
 *
 * <p>Without a limit, a customer that has been idle for an hour would come back with the smallest counter and be served
 * alone until it has caught up. So a customer that was neither waiting nor running starts at the smallest counter of
 * those that are, or at its own if that is larger: it has no credit, and being idle does not cancel what it has taken.
 * While nobody waits or runs, the engines are free, and all counters become equal again.
 *
 * <p>Example: customers A and B wait and have counters 900 and 1,000. C is new and starts at 900. A places a request of
 * cost 400, then C one of cost 50, then C another one, since it has 950, then B. A goes on when the others have passed
 * 1,300.
 *
 * <p>Customers that start within a second of each other start at the same counter, whichever is seen first. A daemon
 * that starts and learns of running jobs one by one therefore counts for each customer what it has running.
 *
 * <p>A customer is taken to be running until the predicted end of its requests, whether or not they end before. An
 * error of this prediction moves the start of a new customer by at most what is placed in that time.
 */
public final class FairShares {
    /**
     * Time after a customer's start in which its start counts instead of its counter for those that start as well, in
     * milliseconds. A daemon that starts learns of the jobs of all customers one after the other, within about a
     * second.
     */
    private static final double SAME_START_MILLIS = 1_000;

    private final Map<String, Account> accounts = new HashMap<>();
    /** Smallest counter at which a customer that becomes active starts; it never decreases. */
    private double floor;

    private static final class Account {
        private double counter;
        private double startCounter;
        private double startedAt;
        private int waiting;
        private double runningUntil;

        boolean active(double now) {
            return waiting > 0 || runningUntil > now;
        }

        void start(double floor, double now) {
            counter = Math.max(counter, floor);
            startCounter = counter;
            startedAt = now;
        }

        double counterForOthers(double now) {
            return now < startedAt + SAME_START_MILLIS ? startCounter : counter;
        }
    }

    /** Notes that a request of a customer begins to wait. */
    public void arrived(String customer, double now) {
        activate(customer, now).waiting++;
    }

    /** Notes that a request of a customer does not wait any more, whatever the reason. */
    public void left(String customer) {
        Account account = accounts.get(customer);
        if (account != null && account.waiting > 0) {
            account.waiting--;
        }
    }

    /** Counts a request of a customer that was sent to engines. */
    public void charge(String customer, EngineCost cost, double now) {
        Account account = activate(customer, now);
        account.counter += cost.engineMillis();
        account.runningUntil = Math.max(account.runningUntil, now + cost.runMillis());
    }

    /** Returns the counter of a customer, at which its next request starts. */
    public double counter(String customer) {
        Account account = accounts.get(customer);
        return account == null ? floor : Math.max(floor, account.counter);
    }

    /** Returns the number of customers that are remembered. */
    int size() {
        return accounts.size();
    }

    /** Returns the account of a customer, moved forward to the smallest counter of the others if it was idle. */
    private Account activate(String customer, double now) {
        Account known = accounts.get(customer);
        if (known != null && known.active(now)) {
            return known;
        }
        raiseFloor(now);
        Account account = accounts.computeIfAbsent(customer, name -> new Account());
        account.start(floor, now);
        return account;
    }

    /** Raises the floor to the smallest counter of the active customers and forgets the idle ones at the floor. */
    private void raiseFloor(double now) {
        double smallest = Double.POSITIVE_INFINITY;
        double largest = floor;
        for (Account account : accounts.values()) {
            largest = Math.max(largest, account.counter);
            smallest = account.active(now) ? Math.min(smallest, account.counterForOthers(now)) : smallest;
        }
        floor = Math.max(floor, Double.isInfinite(smallest) ? largest : smallest);
        accounts.values().removeIf(account -> !account.active(now) && account.counter <= floor);
    }
}
