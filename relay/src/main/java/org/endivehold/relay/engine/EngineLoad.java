package org.endivehold.relay.engine;

import java.util.HashMap;
import java.util.Map;
import org.endivehold.relay.route.EngineProfile;

/**
 * The work that is known to lie at one engine.
 *
 * <p>An engine works in passes. A pass reads prompts up to a number of tokens and, if a request is writing, runs some
 * steps for all writers. A writer's pause is therefore the length of a pass, and what a new prompt costs is the time of
 * its read, added to the next pass of everybody there.
 *
 * <p>Whole prompts are read in the order in which they came. A part of a divided prompt is read before everything that
 * waits, older parts included, and before the rest of a read that the current pass does not finish. Example: a part of
 * 400 ms that comes 100 ms after another of 1,000 ms at an engine where nobody writes is over after 400 ms, and the
 * older one after 1,400 ms.
 */
final class EngineLoad {
    /** Part of a read that is taken to be left when the predicted time is over. */
    static final double OVERDUE_SHARE = 0.15;

    private final Map<JobId, EnginePart> parts = new HashMap<>();
    private final EngineProfile profile;
    private int writers;
    private double context;

    EngineLoad(EngineProfile profile) {
        this.profile = profile;
    }

    EngineProfile profile() {
        return profile;
    }

    /** Adds the part of a request; the first part of a request stays after its read and writes. */
    void add(EngineJob job, String engine, double now, double pace) {
        if (parts.containsKey(job.id())) {
            return;
        }
        int count = job.engines().size();
        double read = profile.prefillMillis(job.promptTokens(), count) * pace;
        long tokensOfPass = (long) profile.stepsPerPass() * profile.prefillChunkTokens();
        double start = now + startDelay(now, count > 1);
        double pause = passMillis() * pace + nextPassReads(now) + read;
        for (EnginePart part : parts.values()) {
            if (part.writing) {
                part.spoiled = Math.max(part.spoiled, Lateness.risk(pause, part.job.gapAimMillis()));
            }
        }
        if (count > 1) {
            for (EnginePart part : parts.values()) {
                if (overtakes(part, now)) {
                    part.overtaken(read);
                }
            }
        }
        parts.put(job.id(), new EnginePart(job, job.heldAt(engine), read, now, start, tokensOfPass));
    }

    /** Tells whether a part of a divided prompt that comes now is read before what is left of another read. */
    boolean overtakes(EnginePart part, double now) {
        return !part.writing && (writers == 0 || part.severalPasses || !part.started(now));
    }

    void firstToken(JobId id, String engine) {
        EnginePart part = parts.get(id);
        if (part == null || part.writing) {
            return;
        }
        if (!part.job.writer().equals(engine) && part.heldTokens == 0) {
            parts.remove(id);
            return;
        }
        part.writing = true;
        writers++;
        context += part.heldTokens;
    }

    void remove(JobId id) {
        EnginePart part = parts.remove(id);
        if (part != null && part.writing) {
            writers--;
            context -= part.heldTokens;
        }
    }

    Iterable<EnginePart> parts() {
        return parts.values();
    }

    boolean idle() {
        return parts.isEmpty();
    }

    /** Counts the requests that hold a slot here. */
    int occupied(String engine) {
        int count = 0;
        for (EnginePart part : parts.values()) {
            if (part.job.writer().equals(engine)) {
                count++;
            }
        }
        return count;
    }

    /** Sums the memory that requests here need. */
    double memoryTokens() {
        double sum = 0;
        for (EnginePart part : parts.values()) {
            sum += part.heldTokens;
        }
        return sum;
    }

    /** Predicts the length of a pass without reads. */
    double passMillis() {
        return profile.passMillis(writers, context);
    }

    /** Predicts when a read that is placed now would begin. A part of a divided prompt goes before all that waits. */
    double startDelay(double now, boolean split) {
        double before = 0;
        for (EnginePart part : parts.values()) {
            if (!part.writing && !(split && overtakes(part, now))) {
                before += part.leftMillis(now);
            }
        }
        double current = writers > 0 ? passMillis() / 2 : 0;
        return current + before;
    }

    /** Sums the reads that are not over yet, with what is already done of them. */
    double pendingReads() {
        double sum = 0;
        for (EnginePart part : parts.values()) {
            sum += part.writing ? 0 : part.readMillis;
        }
        return sum;
    }

    /** Sums the reads that the next pass will do, as far as they are known. */
    double nextPassReads(double now) {
        double sum = 0;
        for (EnginePart part : parts.values()) {
            if (!part.writing && !part.started(now)) {
                sum += part.readMillis;
            }
        }
        return sum;
    }
}
