package org.endivehold.relay.engine;

/** The part of one request that lies at one engine. */
final class EnginePart {
    final EngineJob job;
    final long heldTokens;
    final double readMillis;
    final double placedAt;
    final boolean split;
    /** Whether the read is longer than what one pass reads. */
    final boolean severalPasses;

    boolean writing;
    /** How likely a pause that is predicted already makes this request late; it can be late only once. */
    double spoiled;

    private double startAt;
    private double doneAt;

    EnginePart(EngineJob job, long heldTokens, double readMillis, double placedAt, double startAt, long tokensOfPass) {
        this.job = job;
        this.heldTokens = heldTokens;
        this.readMillis = readMillis;
        this.placedAt = placedAt;
        this.startAt = startAt;
        this.doneAt = startAt + readMillis;
        this.split = job.engines().size() > 1;
        this.severalPasses = job.promptTokens() / job.engines().size() > tokensOfPass;
    }

    /** Predicts how much of the read is left; a read that takes longer than predicted is taken to be nearly done. */
    double leftMillis(double now) {
        if (writing) {
            return 0;
        }
        double least = readMillis * EngineLoad.OVERDUE_SHARE;
        return Math.min(readMillis, Math.max(least, doneAt - now));
    }

    /** Predicts the time until the read is over, with what goes before it. */
    double untilDoneMillis(double now) {
        return Math.max(leftMillis(now), doneAt - now);
    }

    /** Notes that another read goes before this one, or before what is left of it. */
    void overtaken(double millis) {
        startAt += millis;
        doneAt += millis;
    }

    boolean started(double now) {
        return now >= startAt;
    }
}
