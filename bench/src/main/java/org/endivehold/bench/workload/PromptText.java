package org.endivehold.bench.workload;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.TokenCount;

/**
 * Makes the text of prompts. Every second prompt begins with a text that its customer always sends first, so that
 * prefix caches have something to find; the rest is unique.
 */
public final class PromptText {
    private static final int POOL_BYTES = 1 << 20;
    private static final int SHARED_TOKENS = 2_048;
    private static final int LETTERS = 26;
    private static final int WORD_LETTERS = 7;

    private final String pool;

    /**
     * Creates a source of texts.
     *
     * @param seed seed of the filler
     */
    public PromptText(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        StringBuilder text = new StringBuilder(POOL_BYTES);
        for (int i = 0; i < POOL_BYTES; i++) {
            text.append(i % WORD_LETTERS == 0 ? ' ' : (char) ('a' + random.nextInt(LETTERS)));
        }
        pool = text.toString();
    }

    /**
     * Makes the prompt of a request.
     *
     * @param arrival the request
     * @return letters, digits, hyphens and spaces only, of the wanted length
     */
    public String of(Arrival arrival) {
        int bytes = (int) Math.min(Integer.MAX_VALUE, arrival.promptTokens() * TokenCount.BYTES_PER_TOKEN);
        StringBuilder text = new StringBuilder(bytes);
        int shared = SHARED_TOKENS * TokenCount.BYTES_PER_TOKEN;
        if (arrival.number() % 2 == 0 && bytes > 2 * shared) {
            text.append("shared text of ").append(arrival.customer()).append(' ');
            text.append(pool, 0, shared - text.length());
        }
        text.append("request ").append(arrival.number()).append(' ');
        int from = (int) ((arrival.number() * 7_919L) % POOL_BYTES);
        while (text.length() < bytes) {
            int length = Math.min(POOL_BYTES - from, bytes - text.length());
            text.append(pool, from, from + length);
            from = 0;
        }
        text.setLength(bytes);
        return text.toString();
    }
}
