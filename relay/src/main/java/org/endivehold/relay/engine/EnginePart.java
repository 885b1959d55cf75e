package org.endivehold.relay.engine;

/** The part of one request that lies at one engine. */
final class EnginePart {
    final EngineJob job;
    final double readMillis;
    final double placedAt;
    final long heldTokens;
    final boolean split;
    boolean writing;
    private double startAt;
    private double doneAt;

    EnginePart(EngineJob job, long heldTokens, double readMillis, double placedAt, double startAt) {
        this.job = job;
        this.heldTokens = heldTokens;
        this.readMillis = readMillis;
        this.placedAt = placedAt;
        this.startAt = startAt;
        this.doneAt = startAt + readMillis;
        this.split = job.engines().size() > 1;
    }

    /** Predicts how much of the read is left; a read that takes longer than predicted is taken to be nearly done. */
    double leftMillis(double now) {
        if (writing) {
            return 0;
        }
        double least = readMillis * EngineLoad.OVERDUE_SHARE;
        return Math.min(readMillis, Math.max(least, doneAt - now));
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
