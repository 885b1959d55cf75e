package org.endivehold.misc;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many lines of each kind are logged in a second, and counts what was left out.
 *
 * <p>A storm of one kind of event neither fills the disk of who collects the lines nor hides the other kinds. Example:
 * with 200 lines a second, 500 requests that end within one second leave 200 lines, and the first line of that kind
 * after that second brings a count of 300.
 */
final class LogLimit {
    /** Most lines of one kind in a second: several times what a daemon logs of its requests on a busy day. */
    static final int LINES_PER_SECOND = 200;

    private static final long SECOND_MILLIS = 1_000;

    private final Map<String, Window> windows = new HashMap<>();

    private static final class Window {
        private long second;
        private int lines;
        private int dropped;
    }

    /**
     * What to do with a line.
     *
     * @param write whether to write it
     * @param droppedBefore lines of the same kind that were left out in an earlier second and not yet told of
     */
    record Verdict(boolean write, int droppedBefore) {}

    /** Decides about one line. */
    synchronized Verdict ask(String kind, long nowMillis) {
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
