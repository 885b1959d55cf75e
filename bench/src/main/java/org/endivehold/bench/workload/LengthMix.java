package org.endivehold.bench.workload;

import org.apache.commons.rng.UniformRandomProvider;

/** Draws prompt lengths: log-uniform from 1,000 to 100,000 tokens, and one in fifty from there to a million. */
public final class LengthMix {
    private static final double SHORTEST = 1_000;
    private static final double LONG = 100_000;
    private static final double LONGEST = 1_000_000;
    private static final double LONG_SHARE = 1.0 / 50;
    private static final double LONG_ANSWER_TOKENS = 160;
    private static final double SHORT_ANSWER_TOKENS = 16;

    private final UniformRandomProvider random;

    /**
     * Creates a source of lengths.
     *
     * @param random seeded random numbers
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
        boolean isLong = random.nextDouble() < LONG_SHARE;
        return (long) (isLong ? logUniform(LONG, LONGEST) : logUniform(SHORTEST, LONG));
    }

    /**
     * Draws the length of an answer.
     *
     * @return tokens
     */
    public int answerTokens() {
        return (int) logUniform(SHORT_ANSWER_TOKENS, LONG_ANSWER_TOKENS);
    }

    /**
     * Returns the mean length of a prompt.
     *
     * @return tokens
     */
    public static double meanPromptTokens() {
        return (1 - LONG_SHARE) * logUniformMean(SHORTEST, LONG) + LONG_SHARE * logUniformMean(LONG, LONGEST);
    }

    private double logUniform(double from, double to) {
        return from * Math.pow(to / from, random.nextDouble());
    }

    private static double logUniformMean(double from, double to) {
        return (to - from) / Math.log(to / from);
    }
}
