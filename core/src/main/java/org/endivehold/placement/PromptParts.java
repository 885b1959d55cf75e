package org.endivehold.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.misc.TokenCount;

/** Splits a prompt that exceeds the memory of one engine into parts. */
public final class PromptParts {
    private PromptParts() {}

    /**
     * Splits a prompt so that each part but the last fills its engine's memory, except that cuts are made only at
     * multiples of the estimated token length and never within a character. There are fewer parts than engines if the
     * prompt ends earlier, and one more part if the memory of all engines is too small.
     *
     * <p>Example: 10 tokens over engines with 4, 4 and 4 become parts of 4, 4 and 2 tokens.
     *
     * @param prompt the prompt in UTF-8
     * @param memoryTokens memory of the engine for each part, in tokens
     * @return the parts in order; their concatenation is the prompt
     */
    public static List<String> split(byte[] prompt, long[] memoryTokens) {
        List<String> parts = new ArrayList<>();
        int from = 0;
        for (int i = 0; i < memoryTokens.length && from < prompt.length; i++) {
            int to = partEnd(prompt, from, memoryTokens[i]);
            if (to > from) {
                parts.add(text(prompt, from, to));
                from = to;
            }
        }
        if (from < prompt.length) {
            parts.add(text(prompt, from, prompt.length));
        }
        return parts;
    }

    private static int partEnd(byte[] prompt, int from, long tokens) {
        long end = from + Math.max(0, tokens) * TokenCount.BYTES_PER_TOKEN;
        if (end >= prompt.length) {
            return prompt.length;
        }
        int to = (int) end;
        while (to > from && isContinuation(prompt[to])) {
            to -= TokenCount.BYTES_PER_TOKEN;
        }
        return Math.max(from, to);
    }

    private static boolean isContinuation(byte utf8Byte) {
        return (utf8Byte & 0xC0) == 0x80;
    }

    private static String text(byte[] prompt, int from, int to) {
        return new String(prompt, from, to - from, StandardCharsets.UTF_8);
    }
}
