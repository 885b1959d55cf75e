package org.endivehold.relay.share;

import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.EngineProfile;

/**
 * What a request is predicted to take from the engines of its service.
 *
 * <p>An engine prefills one prompt at a time, so a prefill takes the whole engine. While it decodes, it runs as many
 * requests as it has slots and memory for, so a request takes the larger one of its parts of these. The cost is the
 * time that one engine would be taken as a whole. How a prompt is split does not change it.
 *
 * <p>Example: an engine has 8 slots and memory for 200,000 tokens. A prompt of 5,000 tokens is prefilled in 35 ms and
 * decodes for 1,600 ms in one of the slots, which costs 35 + 1,600 / 8 = 235 ms. A prompt of 150,000 tokens that
 * decodes for 1,000 ms takes three quarters of the memory meanwhile: its prefill of 2,800 ms and 750 ms more.
 *
 * @param engineMillis time for which one engine is taken as a whole, in milliseconds
 * @param runMillis time from its start to its end, in milliseconds
 */
public record EngineCost(double engineMillis, double runMillis) {
    /** Returns the cost of a request. */
    public static EngineCost of(PromptNeed need, EngineProfile profile) {
        return of(need.promptTokens(), need.outputTokens(), profile);
    }

    /** Returns the cost of a job. */
    public static EngineCost of(EngineJob job, EngineProfile profile) {
        return of(job.promptTokens(), job.outputTokens(), profile);
    }

    private static EngineCost of(long promptTokens, long outputTokens, EngineProfile profile) {
        double tokens = (double) promptTokens + outputTokens;
        double passes = (double) outputTokens / profile.stepsPerPass() + 1;
        double decode = passes * profile.passMillis(1, tokens);
        double part = Math.max(1.0 / profile.slots(), tokens / profile.memoryTokens());
        double prefill = profile.prefillMillis(promptTokens, 1);
        return new EngineCost(prefill + decode * part, prefill + decode);
    }
}
