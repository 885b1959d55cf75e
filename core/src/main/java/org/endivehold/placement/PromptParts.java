package org.endivehold.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.misc.TokenCount;

/** Cuts a prompt that exceeds one engine's memory into parts. */
public final class PromptParts {
    private PromptParts() {}

    /**
     * Cuts a prompt so that each part but the last fills its engine's memory as far as whole tokens and characters
     * allow. Fewer parts than engines come back if the rest is empty, and one more if the memory does not suffice.
     *
     * <p>Example: 10 tokens over engines with 4, 4 and 4 become parts of 4, 4 and 2 tokens.
     *
     * @param prompt the prompt in UTF-8
     * @param memoryTokens memory for each part, in tokens
     * @return the parts, whose concatenation is the prompt
     */
    public static List<String> split(byte[] prompt, long[] memoryTokens) {
        List<String> parts = new ArrayList<>();
        int from = 0;
        for (int i = 0; i < memoryTokens.length && from < prompt.length; i++) {
            int to = cut(prompt, from, memoryTokens[i]);
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

    private static int cut(byte[] prompt, int from, long tokens) {
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

    private static boolean isContinuation(byte unit) {
        return (unit & 0xC0) == 0x80;
    }

    private static String text(byte[] prompt, int from, int to) {
        return new String(prompt, from, to - from, StandardCharsets.UTF_8);
    }
}
