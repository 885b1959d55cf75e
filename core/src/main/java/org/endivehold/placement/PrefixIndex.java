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
 * Predicts which prompt prefixes each upstream has in its cache.
 *
 * <p>The index has two sources: the prompts that this daemon sent, and the upstreams' cache events, which arrive late
 * and with gaps. Neither is exact, so predictions are corrected by what engines report with each stream: the number of
 * tokens found in the cache. The exponentially weighted moving average of the ratio of found to predicted tokens is the
 * upstream's reliability, and predictions are multiplied by it. A gap in the events halves it.
 *
 * <p>Memory is bounded: the index keeps the {@code maxBlocks} most recently used blocks with at most
 * {@link #MAX_HOLDERS} upstreams each. Of each prompt it keeps the first {@link #DENSE_BLOCKS} blocks and then every
 * {@link #SPARSE_STEP}th, since longer matches seldom end between two of these.
 */
public final class PrefixIndex {
    /** Largest number of upstreams kept for one block. */
    public static final int MAX_HOLDERS = 8;
    /** Number of blocks at the start of a prompt that are all kept. */
    public static final int DENSE_BLOCKS = 64;
    /** After the dense blocks, one block in this many is kept. */
    public static final int SPARSE_STEP = 16;

    /** Weight of a new sample in an upstream's reliability. */
    private static final double SAMPLE_WEIGHT = 0.1;

    private static final double GAP_RELIABILITY_FACTOR = 0.5;

    private final Map<Long, List<UpstreamName>> blocks;
    private final Map<UpstreamName, Double> reliability = new HashMap<>();
    private final Map<UpstreamName, Long> lastEvents = new HashMap<>();

    /**
     * Creates an empty index.
     *
     * @param maxBlocks largest number of blocks kept
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
     * Records that a prompt was sent to an upstream, which will cache it.
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
     * Predicts how much of a prompt each upstream has cached.
     *
     * @param hashes the prompt's prefix hashes
     * @return number of cached tokens by upstream, without the upstreams that have none
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
     * Records how much of a prompt an engine found in its cache, which adjusts the engine's reliability.
     *
     * @param upstream the upstream
     * @param expectedTokens number of cached tokens that was predicted
     * @param cachedTokens number of cached tokens that the engine found
     */
    public void observed(UpstreamName upstream, long expectedTokens, long cachedTokens) {
        if (expectedTokens > 0) {
            double hit = Math.min(1.0, (double) cachedTokens / expectedTokens);
            reliability.merge(
                    upstream, 1 - SAMPLE_WEIGHT * (1 - hit), (old, first) -> old + SAMPLE_WEIGHT * (hit - old));
        }
    }

    /**
     * Applies cache events of an upstream; events that were applied before are ignored.
     *
     * @param upstream the upstream
     * @param events the events, in order of their sequence numbers
     */
    public void events(UpstreamName upstream, List<CacheEvent> events) {
        for (CacheEvent event : events) {
            Long last = lastEvents.get(upstream);
            if (last != null && event.sequence() <= last) {
                continue;
            }
            if (last != null && event.sequence() > last + 1) {
                reliability.merge(upstream, GAP_RELIABILITY_FACTOR, (old, factor) -> old * factor);
            }
            lastEvents.put(upstream, event.sequence());
            apply(upstream, event);
        }
    }

    /**
     * Returns the sequence number of the last event that was applied.
     *
     * @param upstream the upstream
     * @return the sequence number; 0 if there was none
     */
    public long lastEvent(UpstreamName upstream) {
        return lastEvents.getOrDefault(upstream, 0L);
    }

    /**
     * Records that an upstream restarted, with an empty cache and new event sequence numbers.
     *
     * @param upstream the upstream
     */
    public void restarted(UpstreamName upstream) {
        lastEvents.remove(upstream);
        reliability.remove(upstream);
        blocks.values().forEach(holders -> holders.remove(upstream));
    }

    /**
     * Drops upstreams that are no longer configured.
     *
     * @param upstreams names of all configured upstreams
     */
    public void retain(Set<UpstreamName> upstreams) {
        lastEvents.keySet().retainAll(upstreams);
        reliability.keySet().retainAll(upstreams);
        blocks.values().forEach(holders -> holders.retainAll(upstreams));
    }

    /** Extends the match of each upstream that holds this block and all kept blocks before it. */
    private static boolean extend(Map<UpstreamName, Long> tokens, List<UpstreamName> holders, int block) {
        long before = blocksUpToPreviousKept(block) * (long) PrefixHashes.BLOCK_TOKENS;
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

    private static int blocksUpToPreviousKept(int block) {
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
