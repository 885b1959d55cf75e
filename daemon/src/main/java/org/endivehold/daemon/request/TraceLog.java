package org.endivehold.daemon.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.endivehold.misc.RequestId;
import org.endivehold.misc.Ticker;

/**
 * Keeps the decisions made for recent requests, for {@code endivehold trace}. Bounded: the oldest requests are evicted,
 * and further events of a request are discarded.
 */
public final class TraceLog {
    private static final int MAX_REQUESTS = 2_000;
    private static final int MAX_EVENTS_PER_REQUEST = 64;

    private final Ticker ticker;
    private final Map<RequestId, Deque<TraceEvent>> requests = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, Deque<TraceEvent>> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    /**
     * Creates an empty log.
     *
     * @param ticker clock of the events
     */
    public TraceLog(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * One decision for a request.
     *
     * @param atMillis monotonic time of the daemon in milliseconds
     * @param step what was decided, such as {@code placed}
     * @param detail key=value pairs
     */
    public record TraceEvent(long atMillis, String step, String detail) {}

    /**
     * Adds a decision; discards it if the request already has the maximum number of events.
     *
     * @param request the request
     * @param step what was decided
     * @param detail key=value pairs
     */
    public synchronized void note(RequestId request, String step, String detail) {
        Deque<TraceEvent> events = requests.computeIfAbsent(request, id -> new ArrayDeque<>());
        if (events.size() < MAX_EVENTS_PER_REQUEST) {
            events.add(new TraceEvent(ticker.millis(), step, detail));
        }
    }

    /**
     * Returns the decisions for a request.
     *
     * @param request the request
     * @return the events in order; empty if the request is unknown or evicted
     */
    public synchronized List<TraceEvent> events(RequestId request) {
        return List.copyOf(requests.getOrDefault(request, new ArrayDeque<>()));
    }
}
