package org.endivehold.misc;

/** Estimates the length of a text in tokens without a tokenizer. */
public final class TokenCount {
    /** Assumed number of UTF-8 bytes per token. */
    public static final int BYTES_PER_TOKEN = 4;

    private TokenCount() {}

    /**
     * Estimates the length of a text.
     *
     * @param utf8Bytes length of the text in UTF-8, in bytes
     * @return estimated length in tokens, rounded up
     */
    public static long estimate(long utf8Bytes) {
        return (utf8Bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }
}
