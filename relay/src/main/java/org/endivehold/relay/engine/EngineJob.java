package org.endivehold.relay.engine;

import java.util.List;

/**
 * A generation request as other daemons need to know it to predict the engines that work on it.
 *
 * @param id names it
 * @param engines the engines that read the prompt; the first of them also writes the answer
 * @param heldTokens memory that the request takes at each of these engines, in tokens
 * @param promptTokens length of the prompt
 * @param outputTokens most tokens of the answer
 * @param firstAimMillis time to the first token that is on time
 * @param gapAimMillis pause between events that is on time
 */
public record EngineJob(
        JobId id,
        List<String> engines,
        List<Long> heldTokens,
        long promptTokens,
        long outputTokens,
        double firstAimMillis,
        double gapAimMillis) {
    /** Prompt tokens that add one to the weight of a request: a longer prompt is dearer to serve late. */
    private static final double TOKENS_PER_WEIGHT = 10_000;

    /** Keeps immutable copies of the lists. */
    public EngineJob {
        engines = List.copyOf(engines);
        heldTokens = List.copyOf(heldTokens);
    }

    /** Returns a request with the engines that were chosen for it. */
    public static EngineJob of(JobId id, Placement placement, PromptNeed need) {
        return new EngineJob(
                id,
                placement.engines(),
                placement.heldTokens(),
                need.promptTokens(),
                need.outputTokens(),
                need.firstAimMillis(),
                need.gapAimMillis());
    }

    /** Returns the engine that writes the answer. */
    public String writer() {
        return engines.get(0);
    }

    /** Returns the memory that the request takes at an engine, in tokens; 0 if it takes none there. */
    public long heldAt(String engine) {
        int index = engines.indexOf(engine);
        return index < 0 ? 0 : heldTokens.get(index);
    }

    /** Returns what it costs to serve this request late, relative to a very short one. */
    public double weight() {
        return weight(promptTokens);
    }

    /** Returns what it costs to serve a prompt of this length late, relative to a very short one. */
    public static double weight(long promptTokens) {
        return 1 + promptTokens / TOKENS_PER_WEIGHT;
    }
}
