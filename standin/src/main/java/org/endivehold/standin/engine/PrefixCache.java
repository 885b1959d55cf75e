package org.endivehold.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.endivehold.upstream.CacheEvent;
import org.endivehold.upstream.PrefixHashes;

/**
 * Prefix cache with least-recently-used eviction. Its events are reported late and some are omitted, so that callers
 * must handle gaps in the sequence numbers.
 */
final class PrefixCache {
    private static final int MAX_EVENTS = 4_096;
    private static final int OMITTED_EVENT_INTERVAL = 50;

    private final int maxBlocks;
    private final Map<Long, Integer> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long sequence;

    private record TimedEvent(long atNanos, CacheEvent event) {}

    PrefixCache(long capacityTokens) {
        maxBlocks = (int) Math.max(1, capacityTokens / PrefixHashes.BLOCK_TOKENS);
    }

    /** Returns how many tokens of a prompt are cached, counted from its start in whole blocks. */
    long cachedTokens(long[] prefixes) {
        int count = 0;
        while (count < prefixes.length && blocks.containsKey(prefixes[count])) {
            count++;
        }
        return (long) count * PrefixHashes.BLOCK_TOKENS;
    }

    void store(long[] prefixes, long now) {
        int count = Math.min(prefixes.length, maxBlocks);
        for (int i = 0; i < count; i++) {
            int tokens = (i + 1) * PrefixHashes.BLOCK_TOKENS;
            if (blocks.put(prefixes[i], tokens) == null) {
                recordEvent(prefixes[i], tokens, true, now);
            }
        }
        Iterator<Map.Entry<Long, Integer>> oldest = blocks.entrySet().iterator();
        for (int excess = blocks.size() - maxBlocks; excess > 0; excess--) {
            Map.Entry<Long, Integer> entry = oldest.next();
            recordEvent(entry.getKey(), entry.getValue(), false, now);
            oldest.remove();
        }
    }

    void clear() {
        blocks.clear();
        events.clear();
    }

    /** Returns the events after a sequence number that were recorded up to a time in nanoseconds. */
    List<CacheEvent> events(long after, long until) {
        List<CacheEvent> result = new ArrayList<>();
        for (TimedEvent timed : events) {
            if (timed.atNanos() <= until && timed.event().sequence() > after) {
                result.add(timed.event());
            }
        }
        return result;
    }

    private void recordEvent(long hash, int tokens, boolean stored, long now) {
        sequence++;
        if (sequence % OMITTED_EVENT_INTERVAL == 0) {
            return;
        }
        events.addLast(new TimedEvent(now, new CacheEvent(sequence, hash, tokens, stored)));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
