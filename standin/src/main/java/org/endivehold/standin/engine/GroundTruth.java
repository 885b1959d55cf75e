package org.endivehold.standin.engine;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The text that every stand-in engine answers to a prompt. Token i is a function of the prompt's hash and of i alone,
 * so an answer that goes on at another engine, at any offset, must join without a seam, and an answer to another prompt
 * is recognised at once.
 */
public final class GroundTruth {
    private static final int RADIX = 36;
    private static final long SPREAD = 46_656L;

    private final long hash;

    private GroundTruth(long hash) {
        this.hash = hash;
    }

    /**
     * Finds the answer to a prompt.
     *
     * @param prompt the whole prompt
     * @return its answer
     */
    public static GroundTruth of(String prompt) {
        return new GroundTruth(hash(prompt.getBytes(StandardCharsets.UTF_8), 0, -1));
    }

    /**
     * Hashes part of a prompt.
     *
     * @param utf8 the prompt in UTF-8
     * @param from first byte
     * @param length number of bytes; negative for all that follow
     * @return the hash
     */
    public static long hash(byte[] utf8, int from, int length) {
        int count = length < 0 ? utf8.length - from : length;
        return MurmurHash3.hash128x64(utf8, from, count, 0)[0];
    }

    /**
     * Returns one token.
     *
     * @param index number of tokens before it
     * @return its text, a word with a space before it
     */
    public String token(long index) {
        long mixed = (hash ^ (index * 0x9E3779B97F4A7C15L)) * 0xBF58476D1CE4E5B9L;
        mixed ^= mixed >>> 29;
        return " " + Long.toString(Long.remainderUnsigned(mixed, SPREAD), RADIX);
    }

    /**
     * Returns consecutive tokens.
     *
     * @param from number of tokens before the first
     * @param to number of tokens before the end
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
