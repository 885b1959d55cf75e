package org.endivehold.placement;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;
import org.endivehold.misc.UpstreamName;

/**
 * Selects the upstreams that may serve long prompts. The others serve short prompts only, so that a short prompt always
 * finds an upstream without a long prefill ahead of it.
 *
 * <p>The number of upstreams for long prompts is proportional to the long prompts' share of all recent prompt tokens,
 * plus a margin. It never includes all upstreams unless there is only one. Upstreams are selected in the order of a
 * hash of their names. Daemons with similar traffic therefore select the same ones without communicating, and a change
 * of the number by one adds or removes one upstream only.
 *
 * <p>Example: of 16 upstreams, with long prompts making up 40% of the tokens and a margin of 15%, 9 may serve long
 * prompts and the other 7 serve short ones only.
 */
public final class LongPromptUpstreams {
    /** Fraction of the upstreams added to the long prompts' share of the tokens. */
    public static final double MARGIN_FRACTION = 0.15;
    /** Smallest fraction of the upstreams that serve short prompts only, if there is more than one upstream. */
    public static final double MIN_SHORT_ONLY_FRACTION = 0.25;

    /** Time constant of the exponential decay that makes older prompts count less. */
    private static final double DECAY_MILLIS = 30_000;

    private double longTokens;
    private double allTokens;
    private long decayedAt;

    /** Creates a selector that has seen no traffic. */
    public LongPromptUpstreams() {}

    /**
     * Counts a prompt that arrived.
     *
     * @param promptTokens length of the prompt in tokens
     * @param isLong whether it is long by the limit of its route
     * @param now monotonic time in milliseconds
     */
    public void arrived(long promptTokens, boolean isLong, long now) {
        double factor = Math.exp(-Math.max(0, now - decayedAt) / DECAY_MILLIS);
        decayedAt = now;
        allTokens = allTokens * factor + promptTokens;
        longTokens = longTokens * factor + (isLong ? promptTokens : 0);
    }

    /**
     * Selects the upstreams that may serve long prompts.
     *
     * @param upstreams all upstreams that serve the model version
     * @return a subset of them, at least one if there is any
     */
    public Set<UpstreamName> select(List<UpstreamName> upstreams) {
        List<UpstreamName> order = upstreams.stream()
                .sorted(Comparator.comparingInt(LongPromptUpstreams::hash).thenComparing(Comparator.naturalOrder()))
                .toList();
        return new HashSet<>(order.subList(0, Math.min(order.size(), count(order.size()))));
    }

    private int count(int total) {
        double share = allTokens == 0 ? 0 : longTokens / allTokens;
        int proportional = (int) Math.ceil(total * (share + MARGIN_FRACTION));
        int upperLimit = (int) Math.floor(total * (1 - MIN_SHORT_ONLY_FRACTION));
        return Math.max(1, Math.min(proportional, upperLimit));
    }

    private static int hash(UpstreamName name) {
        byte[] bytes = name.value().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(bytes);
    }
}
