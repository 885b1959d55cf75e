package org.endivehold.bench.workload;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws prompt lengths, log-uniform from 1,000 to 100,000 tokens; one in fifty is long, log-uniform from 100,000 to
 * 1,000,000 tokens.
 */
public final class LengthMix {
    private static final double MIN_PROMPT_TOKENS = 1_000;
    private static final double LONG_PROMPT_TOKENS = 100_000;
    private static final double MAX_PROMPT_TOKENS = 1_000_000;
    private static final double LONG_PROMPT_SHARE = 1.0 / 50;
    private static final double MAX_ANSWER_TOKENS = 160;
    private static final double MIN_ANSWER_TOKENS = 16;

    private final UniformRandomProvider random;

    /**
     * Creates a generator of lengths.
     *
     * @param random seeded random number generator
     */
    public LengthMix(UniformRandomProvider random) {
        this.random = random;
    }

    /**
     * Draws the length of a prompt.
     *
     * @return tokens
     */
    public long promptTokens() {
        boolean isLong = random.nextDouble() < LONG_PROMPT_SHARE;
        return (long)
                (isLong
                        ? logUniform(LONG_PROMPT_TOKENS, MAX_PROMPT_TOKENS)
                        : logUniform(MIN_PROMPT_TOKENS, LONG_PROMPT_TOKENS));
    }

    /**
     * Draws the length of an answer, log-uniform from 16 to 160 tokens.
     *
     * @return tokens
     */
    public int answerTokens() {
        return (int) logUniform(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS);
    }

    /**
     * Returns the expected length of a prompt.
     *
     * @return tokens
     */
    public static double meanPromptTokens() {
        return (1 - LONG_PROMPT_SHARE) * logUniformMean(MIN_PROMPT_TOKENS, LONG_PROMPT_TOKENS)
                + LONG_PROMPT_SHARE * logUniformMean(LONG_PROMPT_TOKENS, MAX_PROMPT_TOKENS);
    }

    private double logUniform(double from, double to) {
        return from * Math.pow(to / from, random.nextDouble());
    }

    private static double logUniformMean(double from, double to) {
        return (to - from) / Math.log(to / from);
    }
}
