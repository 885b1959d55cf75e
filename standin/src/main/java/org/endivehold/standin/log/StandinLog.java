package org.endivehold.standin.log;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Events of one or several stand-ins, in the order in which they were added. Bounded; thread-safe. */
public final class StandinLog {
    private static final int MAX_EVENTS = 2_000_000;
    private static final long ORIGIN_NANOS = System.nanoTime();

    private final Queue<StandinEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicLong size = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();

    /**
     * Reads the clock of the log.
     *
     * @return milliseconds since this process loaded the class
     */
    public static long now() {
        return (System.nanoTime() - ORIGIN_NANOS) / 1_000_000L;
    }

    /**
     * Adds an event; once the log is full, events are counted and dropped.
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
     * Copies the log.
     *
     * @return all events
     */
    public List<StandinEvent> events() {
        return List.copyOf(events);
    }

    /**
     * Selects events of one kind.
     *
     * @param kind the record
     * @param <T> the record
     * @return its events in order
     */
    public <T extends StandinEvent> List<T> events(Class<T> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /**
     * Returns how many events did not fit; checks on a log with dropped events are void.
     *
     * @return a count
     */
    public long dropped() {
        return dropped.get();
    }
}
