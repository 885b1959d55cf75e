package org.endivehold.relay.engine;

import java.util.List;
import org.endivehold.relay.route.TrafficClass;

/**
 * A generation request that was sent to engines, with what daemons need to predict the load of these engines.
 *
 * @param id id of the request at the engines
 * @param engines ids of the engines that prefill the prompt; the first of them also decodes the answer
 * @param heldTokens memory that the request takes at each of these engines, in tokens
 * @param promptTokens length of the prompt
 * @param outputTokens maximum number of tokens of the answer
 * @param firstEventTargetMillis target for the time to the first token
 * @param gapTargetMillis target for the gap between events
 * @param traffic whose request it is and how urgent it is
 */
public record EngineJob(
        JobId id,
        List<String> engines,
        List<Long> heldTokens,
        long promptTokens,
        long outputTokens,
        double firstEventTargetMillis,
        double gapTargetMillis,
        TrafficClass traffic) {
    /** Prompt tokens that add one to the weight of a request, since a longer prompt costs more if it is late. */
    private static final double TOKENS_PER_WEIGHT = 10_000;

    /** Keeps immutable copies of the lists. */
    public EngineJob {
        engines = List.copyOf(engines);
        heldTokens = List.copyOf(heldTokens);
    }

    /** Creates a job of the default traffic class. */
    public EngineJob(
            JobId id,
            List<String> engines,
            List<Long> heldTokens,
            long promptTokens,
            long outputTokens,
            double firstEventTargetMillis,
            double gapTargetMillis) {
        this(
                id,
                engines,
                heldTokens,
                promptTokens,
                outputTokens,
                firstEventTargetMillis,
                gapTargetMillis,
                TrafficClass.DEFAULT);
    }

    /** Returns the same job in another traffic class. */
    public EngineJob withTraffic(TrafficClass other) {
        return new EngineJob(
                id, engines, heldTokens, promptTokens, outputTokens, firstEventTargetMillis, gapTargetMillis, other);
    }

    /** Returns the job of a request at the engines that were chosen for it. */
    public static EngineJob of(JobId id, Placement placement, PromptNeed need) {
        return new EngineJob(
                id,
                placement.engines(),
                placement.heldTokens(),
                need.promptTokens(),
                need.outputTokens(),
                need.firstEventTargetMillis(),
                need.gapTargetMillis(),
                need.traffic());
    }

    /** Returns the id of the engine that decodes the answer. */
    public String decodeEngine() {
        return engines.get(0);
    }

    /** Returns the memory that the request takes at an engine, in tokens; 0 if it takes none there. */
    public long heldAt(String engine) {
        int index = engines.indexOf(engine);
        return index < 0 ? 0 : heldTokens.get(index);
    }

    /** Returns the cost of serving this request late, relative to a very short one of the lowest urgency. */
    public double weight() {
        return weight(promptTokens, traffic);
    }

    /** Returns the cost of serving a prompt of this length and class late. */
    static double weight(long promptTokens, TrafficClass traffic) {
        return traffic.costFactor() * (1 + promptTokens / TOKENS_PER_WEIGHT);
    }
}
