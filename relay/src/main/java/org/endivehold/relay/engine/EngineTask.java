package org.endivehold.relay.engine;

/** The work of one job at one engine: a prefill of the whole prompt or of a part of it, then possibly decoding. */
final class EngineTask {
    final EngineJob job;
    final long heldTokens;
    final double prefillMillis;
    final double placedAt;
    /** Whether the prompt is split, so that other engines prefill other parts of it. */
    final boolean split;
    /** Whether the prefill is too long for a single pass. */
    final boolean severalPasses;

    /** Whether the prefill is over. */
    boolean decoding;
    /**
     * Highest lateness cost of the pauses predicted so far for this job. Only an increase counts as new harm, since a
     * job can be made late only once.
     */
    double pauseCost;

    private double startAt;
    private double doneAt;

    EngineTask(
            EngineJob job, long heldTokens, double prefillMillis, double placedAt, double startAt, long tokensOfPass) {
        this.job = job;
        this.heldTokens = heldTokens;
        this.prefillMillis = prefillMillis;
        this.placedAt = placedAt;
        this.startAt = startAt;
        this.doneAt = startAt + prefillMillis;
        this.split = job.engines().size() > 1;
        this.severalPasses = job.promptTokens() / job.engines().size() > tokensOfPass;
    }

    /**
     * Predicts how much of the prefill is left, in milliseconds. A prefill that takes longer than predicted is assumed
     * to be nearly finished.
     */
    double leftMillis(double now) {
        if (decoding) {
            return 0;
        }
        double least = prefillMillis * EngineLoad.OVERDUE_REMAINING_SHARE;
        return Math.min(prefillMillis, Math.max(least, doneAt - now));
    }

    /** Predicts the time until the prefill is finished, including the wait for prefills before it, in milliseconds. */
    double untilDoneMillis(double now) {
        return Math.max(leftMillis(now), doneAt - now);
    }

    /** Delays the prefill, or what is left of it, by a prefill that preempts it. */
    void postpone(double millis) {
        startAt += millis;
        doneAt += millis;
    }

    /** Returns whether the prefill is predicted to have started. */
    boolean started(double now) {
        return now >= startAt;
    }
}
