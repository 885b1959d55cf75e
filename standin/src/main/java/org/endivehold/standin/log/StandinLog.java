package org.endivehold.standin.log;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Log of the events of one or several stand-ins, in the order of addition. Bounded and thread-safe. */
public final class StandinLog {
    private static final int MAX_EVENTS = 2_000_000;
    private static final long ORIGIN_NANOS = System.nanoTime();

    private final Queue<StandinEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicLong size = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();

    /**
     * Returns the current time of the log's monotonic clock.
     *
     * @return milliseconds since this class was loaded
     */
    public static long now() {
        return (System.nanoTime() - ORIGIN_NANOS) / 1_000_000L;
    }

    /**
     * Adds an event. Once the log is full, further events are dropped and only counted.
     *
     * @param event the event
     */
    public void add(StandinEvent event) {
        if (size.incrementAndGet() > MAX_EVENTS) {
            dropped.incrementAndGet();
            return;
        }
        events.add(event);
    }

    /**
     * Returns a copy of the log.
     *
     * @return all events in the order of addition
     */
    public List<StandinEvent> events() {
        return List.copyOf(events);
    }

    /**
     * Returns the events of one type.
     *
     * @param type record class of the events
     * @param <T> type of the events
     * @return the events in the order of addition
     */
    public <T extends StandinEvent> List<T> events(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /**
     * Returns how many events were dropped; if there are any, checks on the log prove nothing.
     *
     * @return number of dropped events
     */
    public long dropped() {
        return dropped.get();
    }
}
