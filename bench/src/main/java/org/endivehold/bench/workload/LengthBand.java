package org.endivehold.bench.workload;

/** Bands of prompt lengths by which figures are grouped. */
public enum LengthBand {
    /** Up to 4,096 tokens. */
    K1_K4("1k-4k", 4_096, 2_000),
    /** Up to 16,384 tokens. */
    K4_K16("4k-16k", 16_384, 8_000),
    /** Up to 100,000 tokens. */
    K16_K100("16k-100k", 100_000, 40_000),
    /** More than 100,000 tokens. */
    K100_M1("100k-1M", Long.MAX_VALUE, 316_000);

    private final String word;
    private final long maxTokens;
    private final double middleTokens;

    LengthBand(String word, long maxTokens, double middleTokens) {
        this.word = word;
        this.maxTokens = maxTokens;
        this.middleTokens = middleTokens;
    }

    /**
     * Returns the band that contains a prompt length.
     *
     * @param tokens length in tokens
     * @return the band
     */
    public static LengthBand of(long tokens) {
        for (LengthBand band : values()) {
            if (tokens <= band.maxTokens) {
                return band;
            }
        }
        return K100_M1;
    }

    /**
     * Returns the label used in reports.
     *
     * @return lower and upper bound, such as {@code 4k-16k}
     */
    public String label() {
        return word;
    }

    /**
     * Returns the geometric mean of the bounds, rounded, as the position in charts.
     *
     * @return tokens
     */
    public double middleTokens() {
        return middleTokens;
    }
}
