package org.endivehold.misc;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the number of log lines of each kind per second, and counts the dropped ones.
 *
 * <p>A burst of one kind of event then neither fills the disk of the log collector nor hides the other kinds. Example:
 * with 200 lines per second, 500 requests that end within one second give 200 lines, and the first line of that kind
 * after that second reports a count of 300.
 */
final class LogRateLimiter {
    /**
     * Largest number of lines of one kind per second: several times what a daemon logs about requests on a busy day.
     */
    static final int LINES_PER_SECOND = 200;

    private static final long SECOND_MILLIS = 1_000;

    private final Map<String, Window> windows = new HashMap<>();

    private static final class Window {
        private long second;
        private int lines;
        private int dropped;
    }

    /**
     * Whether to write a line, and how many were dropped before it.
     *
     * @param write whether to write it
     * @param droppedBefore lines of the same kind that were dropped in an earlier second and not reported yet
     */
    record Verdict(boolean write, int droppedBefore) {}

    /** Decides whether a line of a kind is written. Time is monotonic, in milliseconds. */
    synchronized Verdict admit(String kind, long nowMillis) {
        Window window = windows.computeIfAbsent(kind, first -> new Window());
        long second = Math.floorDiv(nowMillis, SECOND_MILLIS);
        int dropped = 0;
        if (second != window.second) {
            dropped = window.dropped;
            window.second = second;
            window.lines = 0;
            window.dropped = 0;
        }
        if (window.lines >= LINES_PER_SECOND) {
            window.dropped++;
            return new Verdict(false, 0);
        }
        window.lines++;
        return new Verdict(true, dropped);
    }
}
