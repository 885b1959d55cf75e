package org.endivehold.placement;

/** Ranges of prompt lengths for which metrics and reports are kept separately. */
public enum LengthBand {
    /** Below one thousand tokens. */
    UNDER_1K(1_000, "under-1k"),
    /** One thousand to four thousand tokens. */
    FROM_1K(4_000, "1k-4k"),
    /** Four thousand to sixteen thousand tokens. */
    FROM_4K(16_000, "4k-16k"),
    /** Sixteen thousand to one hundred thousand tokens. */
    FROM_16K(100_000, "16k-100k"),
    /** One hundred thousand tokens and more. */
    FROM_100K(Long.MAX_VALUE, "100k-1M");

    private final long endTokens;
    private final String label;

    LengthBand(long endTokens, String label) {
        this.endTokens = endTokens;
        this.label = label;
    }

    /**
     * Returns the band of a prompt.
     *
     * @param promptTokens length of the prompt in tokens
     * @return the band that contains the length
     */
    public static LengthBand of(long promptTokens) {
        for (LengthBand band : values()) {
            if (promptTokens < band.endTokens) {
                return band;
            }
        }
        return FROM_100K;
    }

    /**
     * Returns the label used in metrics and reports.
     *
     * @return the label, such as {@code 1k-4k}
     */
    public String label() {
        return label;
    }
}
