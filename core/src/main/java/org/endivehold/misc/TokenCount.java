package org.endivehold.misc;

/** Estimates lengths in tokens where no tokenizer is at hand. */
public final class TokenCount {
    /** UTF-8 bytes per token in an estimate. */
    public static final int BYTES_PER_TOKEN = 4;

    private TokenCount() {}

    /**
     * Estimates the length of a text.
     *
     * @param utf8Bytes length in bytes
     * @return length in tokens, rounded up
     */
    public static long estimate(long utf8Bytes) {
        return (utf8Bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }
}
