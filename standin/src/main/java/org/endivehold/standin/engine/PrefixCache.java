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

/** Prefix cache with least-recently-used eviction. Its events come late, and every so often one is missing. */
final class PrefixCache {
    private static final int MAX_EVENTS = 4_096;
    private static final int GAP_EVERY = 50;

    private final int maxBlocks;
    private final Map<Long, Integer> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long sequence;

    private record TimedEvent(long atNanos, CacheEvent event) {}

    PrefixCache(long tokens) {
        maxBlocks = (int) Math.max(1, tokens / PrefixHashes.BLOCK_TOKENS);
    }

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
                note(prefixes[i], tokens, true, now);
            }
        }
        Iterator<Map.Entry<Long, Integer>> oldest = blocks.entrySet().iterator();
        for (int surplus = blocks.size() - maxBlocks; surplus > 0; surplus--) {
            Map.Entry<Long, Integer> entry = oldest.next();
            note(entry.getKey(), entry.getValue(), false, now);
            oldest.remove();
        }
    }

    void clear() {
        blocks.clear();
        events.clear();
    }

    List<CacheEvent> events(long after, long until) {
        List<CacheEvent> result = new ArrayList<>();
        for (TimedEvent timed : events) {
            if (timed.atNanos() <= until && timed.event().sequence() > after) {
                result.add(timed.event());
            }
        }
        return result;
    }

    private void note(long hash, int tokens, boolean stored, long now) {
        sequence++;
        if (sequence % GAP_EVERY == 0) {
            return;
        }
        events.addLast(new TimedEvent(now, new CacheEvent(sequence, hash, tokens, stored)));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
