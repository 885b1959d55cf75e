package org.endivehold.bench.workload;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.TokenCount;

/**
 * Generates prompt texts. Every second prompt, if long enough, begins with a prefix shared by the prompts of its
 * customer, so that prefix caches get hits; the rest is unique.
 */
public final class PromptText {
    private static final int FILLER_BYTES = 1 << 20;
    private static final int SHARED_PREFIX_TOKENS = 2_048;
    private static final int ALPHABET_SIZE = 26;
    private static final int WORD_PERIOD = 7;

    private final String filler;

    /**
     * Creates a generator of texts.
     *
     * @param seed seed of the filler text
     */
    public PromptText(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        StringBuilder text = new StringBuilder(FILLER_BYTES);
        for (int i = 0; i < FILLER_BYTES; i++) {
            text.append(i % WORD_PERIOD == 0 ? ' ' : (char) ('a' + random.nextInt(ALPHABET_SIZE)));
        }
        filler = text.toString();
    }

    /**
     * Generates the prompt of a request.
     *
     * @param arrival the request
     * @return text of the request's length, of letters, digits, hyphens and spaces only, so that it needs no JSON
     *     escapes
     */
    public String of(Arrival arrival) {
        int bytes = (int) Math.min(Integer.MAX_VALUE, arrival.promptTokens() * TokenCount.BYTES_PER_TOKEN);
        StringBuilder text = new StringBuilder(bytes);
        int shared = SHARED_PREFIX_TOKENS * TokenCount.BYTES_PER_TOKEN;
        if (arrival.number() % 2 == 0 && bytes > 2 * shared) {
            text.append("shared text of ").append(arrival.customer()).append(' ');
            text.append(filler, 0, shared - text.length());
        }
        text.append("request ").append(arrival.number()).append(' ');
        int from = (int) ((arrival.number() * 7_919L) % FILLER_BYTES);
        while (text.length() < bytes) {
            int length = Math.min(FILLER_BYTES - from, bytes - text.length());
            text.append(filler, from, from + length);
            from = 0;
        }
        text.setLength(bytes);
        return text.toString();
    }
}
