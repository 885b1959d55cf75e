package org.endivehold.relay.connection;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The open connections of one server, and the choice of the one that is closed when there are too many.
 *
 * <p>One address may have half of all connections. When a bound is exceeded, a connection is closed on which a request
 * has been arriving for the longest time, or which has never had one; then one whose response is not read; then the one
 * that has been idle for the longest time. A connection whose request is being served is not closed; if all are, the
 * new one is. Example with a limit of 4: of two connections that serve requests, one that is idle after a response and
 * one that has been sending a head for 2 s, the fifth connection closes the last.
 */
public final class OpenConnections {
    /** What a connection is used for at present. */
    public enum Use {
        /** Nothing has arrived since it was opened, or a request is arriving. */
        RECEIVING,
        /** A response has not been read for some time. */
        STALLED,
        /** The last response has been taken, and no further request has begun. */
        IDLE,
        /** A request has arrived whole and is being served. */
        SERVING
    }

    /** One address may have {@code limit / ADDRESS_PART} connections. */
    private static final int ADDRESS_PART = 2;

    private final int limit;
    private final Set<Entry> entries = new LinkedHashSet<>();
    private final Map<String, Integer> countByAddress = new HashMap<>();

    /** Creates it without connections; {@code limit} is the most that are open at the same time. */
    public OpenConnections(int limit) {
        this.limit = limit;
    }

    /** Returns the number of connections. */
    public int size() {
        return entries.size();
    }

    /**
     * Adds a connection, and closes one if there are too many.
     *
     * @param address address of the client
     * @param now the time in milliseconds
     * @param onEvicted closes the connection
     */
    public Entry open(String address, double now, Runnable onEvicted) {
        Entry entry = new Entry(address, now, onEvicted);
        entries.add(entry);
        int ofAddress = countByAddress.merge(address, 1, Integer::sum);
        if (entries.size() > limit || ofAddress > Math.max(1, limit / ADDRESS_PART)) {
            boolean any = entries.size() > limit;
            Entry victim = victim(entry, any).orElse(entry);
            victim.close();
            victim.onEvicted.run();
        }
        return entry;
    }

    private Optional<Entry> victim(Entry newest, boolean any) {
        return entries.stream()
                .filter(entry -> !entry.equals(newest) && entry.use != Use.SERVING)
                .filter(entry -> any || entry.address.equals(newest.address))
                .min(Comparator.<Entry, Use>comparing(entry -> entry.use).thenComparingDouble(entry -> entry.since));
    }

    /** One connection. */
    public final class Entry {
        private final String address;
        private final Runnable onEvicted;
        private Use use = Use.RECEIVING;
        private double since;

        private Entry(String address, double now, Runnable onEvicted) {
            this.address = address;
            this.since = now;
            this.onEvicted = onEvicted;
        }

        /** Records what the connection is used for from now on. */
        public void use(Use next, double now) {
            if (use != next) {
                use = next;
                since = now;
            }
        }

        /** Stops counting the connection; does not close it. */
        public void close() {
            if (entries.remove(this)) {
                countByAddress.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
            }
        }
    }
}
