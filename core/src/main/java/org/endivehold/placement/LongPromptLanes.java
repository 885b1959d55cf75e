package org.endivehold.placement;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;
import org.endivehold.misc.UpstreamName;

/**
 * Keeps some upstreams free of long prompts, so that short ones always find one without a long prefill ahead.
 *
 * <p>The number of upstreams that long prompts may use follows their share of all prompt tokens, plus a margin, and
 * never covers the whole fleet unless there is just one upstream. Upstreams are taken in the order of a hash of their
 * names, so daemons that see like traffic use the same ones without talking, and a change of the number by one moves
 * one upstream only.
 *
 * <p>Example: of 16 upstreams, with long prompts making up 40% of the tokens and a margin of 15%, long prompts use 9
 * and the other 7 serve short ones only.
 */
public final class LongPromptLanes {
    /** Added to the share of long prompts. */
    public static final double MARGIN = 0.15;
    /** Least part of the fleet kept free of long prompts, if there is more than one upstream. */
    public static final double LEAST_FREE = 0.25;

    private static final double DECAY_MILLIS = 30_000;

    private double longTokens;
    private double allTokens;
    private long decayedAt;

    /** Creates lanes for traffic that is not known yet. */
    public LongPromptLanes() {}

    /**
     * Counts an arrival.
     *
     * @param promptTokens its length in tokens
     * @param isLong whether it counts as long
     * @param now monotonic time in milliseconds
     */
    public void arrived(long promptTokens, boolean isLong, long now) {
        double factor = Math.exp(-Math.max(0, now - decayedAt) / DECAY_MILLIS);
        decayedAt = now;
        allTokens = allTokens * factor + promptTokens;
        longTokens = longTokens * factor + (isLong ? promptTokens : 0);
    }

    /**
     * Returns the upstreams that long prompts may use.
     *
     * @param upstreams all upstreams that serve the version
     * @return some of them, at least one if there is any
     */
    public Set<UpstreamName> lanes(List<UpstreamName> upstreams) {
        List<UpstreamName> order = upstreams.stream()
                .sorted(Comparator.comparingInt(LongPromptLanes::rank).thenComparing(Comparator.naturalOrder()))
                .toList();
        return new HashSet<>(order.subList(0, Math.min(order.size(), count(order.size()))));
    }

    private int count(int fleet) {
        double share = allTokens == 0 ? 0 : longTokens / allTokens;
        int wanted = (int) Math.ceil(fleet * (share + MARGIN));
        int most = (int) Math.floor(fleet * (1 - LEAST_FREE));
        return Math.max(1, Math.min(wanted, most));
    }

    private static int rank(UpstreamName name) {
        byte[] bytes = name.value().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(bytes);
    }
}
