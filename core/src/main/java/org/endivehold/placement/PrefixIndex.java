package org.endivehold.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.CacheEvent;
import org.endivehold.upstream.PrefixHashes;

/**
 * Expects which prefixes each upstream still has in its cache.
 *
 * <p>Two sources feed it: where this daemon sent a prompt, and the upstreams' cache events, which come late and with
 * gaps. Neither is exact, so a third corrects both: an engine tells with each stream how many tokens it found. Their
 * ratio to the expectation, as an exponentially weighted mean, is the upstream's reliability, by which expectations are
 * multiplied; a gap in the events halves it.
 *
 * <p>Memory is bounded: the index keeps the most recently used {@code maxBlocks} blocks with at most
 * {@link #MAX_HOLDERS} upstreams each. Of a prompt it keeps the first {@link #DENSE_BLOCKS} blocks and then every
 * {@link #SPARSE_STEP}th, since a match deeper than that seldom ends between them.
 */
public final class PrefixIndex {
    /** Upstreams remembered for one block. */
    public static final int MAX_HOLDERS = 8;
    /** Blocks of a prompt that are all kept. */
    public static final int DENSE_BLOCKS = 64;
    /** Beyond the dense blocks, one of this many is kept. */
    public static final int SPARSE_STEP = 16;

    private static final double WEIGHT = 0.1;
    private static final double GAP_FACTOR = 0.5;

    private final Map<Long, List<UpstreamName>> blocks;
    private final Map<UpstreamName, Double> reliability = new HashMap<>();
    private final Map<UpstreamName, Long> lastEvents = new HashMap<>();

    /**
     * Creates an empty index.
     *
     * @param maxBlocks most blocks that are kept
     */
    public PrefixIndex(int maxBlocks) {
        blocks = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, List<UpstreamName>> eldest) {
                return size() > maxBlocks;
            }
        };
    }

    /**
     * A prompt was sent to an upstream, which will cache it.
     *
     * @param upstream the upstream
     * @param hashes the prompt's prefix hashes
     */
    public void sent(UpstreamName upstream, long[] hashes) {
        for (int i = 0; i < hashes.length; i++) {
            if (isKept(i)) {
                add(hashes[i], upstream);
            }
        }
    }

    /**
     * Expects how much of a prompt each upstream has cached.
     *
     * @param hashes the prompt's prefix hashes
     * @return tokens by upstream; upstreams with none are missing
     */
    public Map<UpstreamName, Long> expected(long[] hashes) {
        Map<UpstreamName, Long> tokens = new HashMap<>();
        for (int i = 0; i < hashes.length; i++) {
            if (!isKept(i)) {
                continue;
            }
            List<UpstreamName> holders = blocks.get(hashes[i]);
            if (holders == null) {
                break;
            }
            boolean any = extend(tokens, holders, i);
            if (!any) {
                break;
            }
        }
        tokens.replaceAll((name, count) -> (long) (count * reliability.getOrDefault(name, 1.0)));
        return tokens;
    }

    /**
     * An engine told what it found.
     *
     * @param upstream the upstream
     * @param expectedTokens what was expected, in tokens
     * @param cachedTokens what it found, in tokens
     */
    public void observed(UpstreamName upstream, long expectedTokens, long cachedTokens) {
        if (expectedTokens > 0) {
            double hit = Math.min(1.0, (double) cachedTokens / expectedTokens);
            reliability.merge(upstream, 1 - WEIGHT * (1 - hit), (old, first) -> old + WEIGHT * (hit - old));
        }
    }

    /**
     * Takes cache events of an upstream; events that were seen before are ignored.
     *
     * @param upstream the upstream
     * @param events the events, in order
     */
    public void events(UpstreamName upstream, List<CacheEvent> events) {
        for (CacheEvent event : events) {
            Long last = lastEvents.get(upstream);
            if (last != null && event.sequence() <= last) {
                continue;
            }
            if (last != null && event.sequence() > last + 1) {
                reliability.merge(upstream, GAP_FACTOR, (old, factor) -> old * factor);
            }
            lastEvents.put(upstream, event.sequence());
            apply(upstream, event);
        }
    }

    /**
     * Returns the number of the last event taken.
     *
     * @param upstream the upstream
     * @return the number, 0 if none
     */
    public long lastEvent(UpstreamName upstream) {
        return lastEvents.getOrDefault(upstream, 0L);
    }

    /**
     * An upstream started again with an empty cache and new event numbers.
     *
     * @param upstream the upstream
     */
    public void restarted(UpstreamName upstream) {
        lastEvents.remove(upstream);
        reliability.remove(upstream);
        blocks.values().forEach(holders -> holders.remove(upstream));
    }

    /**
     * Forgets upstreams that are no longer configured.
     *
     * @param upstreams those that are
     */
    public void retain(Set<UpstreamName> upstreams) {
        lastEvents.keySet().retainAll(upstreams);
        reliability.keySet().retainAll(upstreams);
        blocks.values().forEach(holders -> holders.retainAll(upstreams));
    }

    /** Extends the match of each holder that held all kept blocks before this one. */
    private static boolean extend(Map<UpstreamName, Long> tokens, List<UpstreamName> holders, int block) {
        long before = previousKept(block) * (long) PrefixHashes.BLOCK_TOKENS;
        long after = (block + 1L) * PrefixHashes.BLOCK_TOKENS;
        boolean any = false;
        for (UpstreamName holder : holders) {
            if (tokens.getOrDefault(holder, 0L) == before) {
                tokens.put(holder, after);
                any = true;
            }
        }
        return any;
    }

    private static int previousKept(int block) {
        int previous = block - 1;
        while (previous >= 0 && !isKept(previous)) {
            previous--;
        }
        return previous + 1;
    }

    private void apply(UpstreamName upstream, CacheEvent event) {
        if (event.stored()) {
            add(event.prefixHash(), upstream);
            return;
        }
        List<UpstreamName> holders = blocks.get(event.prefixHash());
        if (holders != null) {
            holders.remove(upstream);
        }
    }

    private void add(long hash, UpstreamName upstream) {
        List<UpstreamName> holders = blocks.computeIfAbsent(hash, key -> new ArrayList<>(1));
        holders.remove(upstream);
        if (holders.size() == MAX_HOLDERS) {
            holders.remove(0);
        }
        holders.add(upstream);
    }

    private static boolean isKept(int block) {
        return block < DENSE_BLOCKS || block % SPARSE_STEP == SPARSE_STEP - 1;
    }
}
