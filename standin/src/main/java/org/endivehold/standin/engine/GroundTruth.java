package org.endivehold.standin.engine;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The deterministic answer of every stand-in engine to a prompt. Token i depends only on the hash of the prompt and on
 * i, so an answer that is resumed on another engine at any offset must continue exactly, and text that belongs to
 * another prompt is detected.
 */
public final class GroundTruth {
    private static final int RADIX = 36;
    /** Number of distinct tokens: 36 cubed, so that a token has at most three base-36 digits. */
    private static final long DISTINCT_TOKENS = 46_656L;

    private final long hash;

    private GroundTruth(long hash) {
        this.hash = hash;
    }

    /**
     * Returns the answer to a prompt.
     *
     * @param prompt the complete prompt
     * @return its answer
     */
    public static GroundTruth of(String prompt) {
        return new GroundTruth(hash(prompt.getBytes(StandardCharsets.UTF_8), 0, -1));
    }

    /**
     * Hashes a byte range of a prompt.
     *
     * @param utf8 the prompt in UTF-8
     * @param from index of the first byte
     * @param length number of bytes; negative for all remaining bytes
     * @return the first 64 bits of the 128-bit MurmurHash3
     */
    public static long hash(byte[] utf8, int from, int length) {
        int count = length < 0 ? utf8.length - from : length;
        return MurmurHash3.hash128x64(utf8, from, count, 0)[0];
    }

    /**
     * Returns one token.
     *
     * @param index index of the token, from 0
     * @return its text: a space and a word
     */
    public String token(long index) {
        long mixed = (hash ^ (index * 0x9E3779B97F4A7C15L)) * 0xBF58476D1CE4E5B9L;
        mixed ^= mixed >>> 29;
        return " " + Long.toString(Long.remainderUnsigned(mixed, DISTINCT_TOKENS), RADIX);
    }

    /**
     * Returns consecutive tokens.
     *
     * @param from index of the first token, from 0
     * @param to index after the last token
     * @return their text
     */
    public String text(long from, long to) {
        StringBuilder text = new StringBuilder();
        for (long i = from; i < to; i++) {
            text.append(token(i));
        }
        return text.toString();
    }
}
