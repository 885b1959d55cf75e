package org.endivehold.relay.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntToDoubleFunction;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.share.EngineCost;

/**
 * Many daemons that send the requests of several customers to one or two deciders, in virtual time.
 *
 * <p>Each decider has a backlog. The engines are a number of slots for all: a request takes one for its predicted time,
 * and does not fit while none is free. Deciders learn of each other's jobs at once, unless they are apart.
 */
final class SharedFleet {
    private static final String SERVICE = "engines";
    private static final EngineProfile PROFILE =
            new EngineProfile(8, 197_200, 34, 1.31, 0.000917, 0.00213, 154, 0.162, 2_048);
    private static final PromptNeed NEED = new PromptNeed(5_000, 1_300, 300, 250, 0, 15_000);
    private static final EngineCost COST = EngineCost.of(NEED, PROFILE);
    private static final double MAX_WAIT_MILLIS = 1_500;
    private static final int CAPACITY = 2_000;
    private static final int TURN_MILLIS = 5;

    private final Random random;
    private final int daemons;
    private final int slots;
    private final Map<String, CustomerLoad> customers = new LinkedHashMap<>();
    private final List<Decider> deciders = new ArrayList<>();
    private final PriorityQueue<Double> ends = new PriorityQueue<>();
    private final Deque<RunningJob> running = new ArrayDeque<>();
    private long nextNumber;
    private int now;

    private record RunningJob(String customer, double end) {}

    /** The requests of one customer, and how they ended. */
    static final class CustomerLoad {
        private final String name;
        private final IntToDoubleFunction perSecond;
        private final int repeats;
        private final Map<Integer, Integer> placedBySecond = new HashMap<>();
        int asked;
        int placed;
        int refused;

        CustomerLoad(String name, IntToDoubleFunction perSecond, int repeats) {
            this.name = name;
            this.perSecond = perSecond;
            this.repeats = repeats;
        }

        int placedIn(int second) {
            return placedBySecond.getOrDefault(second, 0);
        }
    }

    /** A daemon that decides; the numbers of repeats are those of the waiting requests. */
    private final class Decider implements Backlog.Decisions {
        private final Backlog backlog = new Backlog(CAPACITY);
        private final Map<JobId, Integer> repeatsLeft = new HashMap<>();
        private final Set<Decider> apart = new HashSet<>();
        private final List<String> untold = new ArrayList<>();

        void submit(CustomerLoad customer, int repeats) {
            TrafficClass traffic = new TrafficClass(customer.name, 0, 1);
            JobId id = new JobId("daemon-" + random.nextInt(daemons), nextNumber++);
            EngineRequest request = new EngineRequest(id, SERVICE, NEED.withTraffic(traffic), Set.of(), Set.of(), true);
            WaitingRequest entry = new WaitingRequest(request, PROFILE, new NoListener(), now);
            repeatsLeft.put(id, repeats);
            boolean placed = !backlog.mustQueue(entry) && tryPlace(entry);
            if (!placed && !backlog.add(entry)) {
                refuse(entry, WaitReason.QUEUE_FULL);
            }
        }

        @Override
        public boolean tryPlace(WaitingRequest entry) {
            if (ends.size() >= slots) {
                return false;
            }
            String customer = entry.traffic().customer();
            customers.get(customer).placed++;
            customers.get(customer).placedBySecond.merge((int) (now / 1_000), 1, Integer::sum);
            repeatsLeft.remove(entry.id());
            ends.add(now + COST.runMillis());
            running.add(new RunningJob(customer, now + COST.runMillis()));
            for (Decider decider : deciders) {
                if (decider == this || !apart.contains(decider)) {
                    decider.charge(customer);
                } else {
                    decider.untold.add(customer);
                }
            }
            return true;
        }

        void charge(String customer) {
            backlog.charge(SERVICE, new TrafficClass(customer, 0, 1), COST, now);
        }

        @Override
        public boolean shouldRefuse(WaitingRequest entry) {
            return entry.need(now).elapsedMillis() > MAX_WAIT_MILLIS;
        }

        @Override
        public void refuse(WaitingRequest entry, WaitReason reason) {
            CustomerLoad customer = customers.get(entry.traffic().customer());
            customer.refused++;
            int left = repeatsLeft.remove(entry.id());
            if (left > 0) {
                submit(customer, left - 1);
            }
        }
    }

    private static final class NoListener implements EngineScheduler.Listener {
        @Override
        public void placed(EngineJob job, Placement placement) {}

        @Override
        public void refused(double retryAfterMillis) {}
    }

    SharedFleet(int daemons, int engines, long seed) {
        this.daemons = daemons;
        this.slots = engines * PROFILE.slots();
        this.random = new Random(seed);
        deciders.add(new Decider());
    }

    /** Returns the number of requests per second that the engines can run. */
    double capacityPerSecond() {
        return slots * 1_000 / COST.runMillis();
    }

    /** Adds a customer with a number of requests per second that depends on the second. */
    CustomerLoad add(String name, IntToDoubleFunction perSecond, int repeats) {
        CustomerLoad load = new CustomerLoad(name, perSecond, repeats);
        customers.put(name, load);
        return load;
    }

    /** Adds a second decider, which half of the daemons ask; the two do not hear of each other. */
    void addDecider() {
        Decider second = new Decider();
        running.forEach(job -> second.charge(job.customer()));
        second.apart.add(deciders.get(0));
        deciders.get(0).apart.add(second);
        deciders.add(second);
    }

    /** The second decider ends; its waiting requests go to the first, which is told of its jobs. */
    void join() {
        Decider second = deciders.remove(1);
        Decider first = deciders.get(0);
        first.untold.forEach(first::charge);
        first.untold.clear();
        first.apart.clear();
        resubmit(second, first);
    }

    /** Replaces the decider by a new one, which knows only the jobs that run. */
    void replaceDecider() {
        Decider old = deciders.remove(0);
        Decider next = new Decider();
        running.forEach(job -> next.charge(job.customer()));
        deciders.add(next);
        resubmit(old, next);
    }

    private void resubmit(Decider from, Decider to) {
        for (int daemon = 0; daemon < daemons; daemon++) {
            for (JobId id : from.backlog.submittedBy("daemon-" + daemon)) {
                WaitingRequest entry = from.backlog.waiting(id);
                to.repeatsLeft.put(id, from.repeatsLeft.get(id));
                to.backlog.add(entry);
            }
        }
    }

    /** Runs the fleet up to a second. */
    void runUntil(int second) {
        for (; now < second * 1_000; now++) {
            while (!ends.isEmpty() && ends.peek() <= now) {
                ends.remove();
                running.removeFirst();
            }
            customers.values().forEach(this::arrivals);
            if (now % TURN_MILLIS == 0) {
                deciders.forEach(decider -> decider.backlog.runTurn(decider));
            }
        }
    }

    private void arrivals(CustomerLoad customer) {
        double expected = customer.perSecond.applyAsDouble((int) (now / 1_000)) / 1_000;
        int number = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
        for (int i = 0; i < number; i++) {
            customer.asked++;
            deciders.get(random.nextInt(deciders.size())).submit(customer, customer.repeats);
        }
    }
}
