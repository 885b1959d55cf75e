package org.endivehold.relay.engine;

import java.util.HashMap;
import java.util.Map;
import org.endivehold.relay.route.EngineProfile;

/**
 * Predicts the load of one engine from the tasks that are known to be there.
 *
 * <p>An engine works in passes. A pass prefills prompts up to a number of tokens and then, if any request is decoding,
 * runs some decode steps for all decoding requests. So the gap between two events of a decoding request is the length
 * of a pass, and a new prompt lengthens the next pass, and with it the gap of every decoding request, by its prefill
 * time.
 *
 * <p>Whole prompts are prefilled in order of arrival. A part of a split prompt is prefilled before everything that
 * waits, including earlier parts, and before the rest of a prefill that the current pass does not finish. Example: no
 * request is decoding, and a part of 400 ms arrives 100 ms after a part of 1,000 ms. The newer part is finished 400 ms
 * after its arrival, the older one 1,400 ms after its own.
 */
final class EngineLoad {
    /** Share of a prefill that is assumed to remain when it takes longer than predicted. */
    static final double OVERDUE_REMAINING_SHARE = 0.15;

    /** Share of an engine's memory that requests may take in all. */
    private static final double USABLE_MEMORY_SHARE = 0.97;

    private final Map<JobId, EngineTask> tasks = new HashMap<>();
    private final PartLoad prefillLoad = new PartLoad();
    private final EngineProfile profile;
    private int decodingTasks;
    private double decodingContextTokens;

    EngineLoad(EngineProfile profile) {
        this.profile = profile;
    }

    EngineProfile profile() {
        return profile;
    }

    /** Adds this engine's task of a job; has no effect if it was added before. */
    void add(EngineJob job, String engine, double now, double slowdown) {
        if (tasks.containsKey(job.id())) {
            return;
        }
        int count = job.engines().size();
        double prefill = profile.prefillMillis(job.promptTokens(), count) * slowdown;
        long tokensPerPass = (long) profile.stepsPerPass() * profile.prefillChunkTokens();
        double start = now + startDelayMillis(now, count > 1);
        double pause = passMillis() * slowdown + nextPassPrefillMillis(now) + prefill;
        for (EngineTask task : tasks.values()) {
            if (task.decoding) {
                task.pauseCost = Math.max(task.pauseCost, Lateness.of(pause, task.job.gapTargetMillis()));
            }
        }
        if (count > 1) {
            for (EngineTask task : tasks.values()) {
                if (preemptedBySplit(task, now)) {
                    task.postpone(prefill);
                }
            }
        }
        prefillLoad.add(prefill, now);
        tasks.put(job.id(), new EngineTask(job, job.heldAt(engine), prefill, now, start, tokensPerPass));
    }

    /**
     * Returns whether a part of a split prompt that arrives now is prefilled before what is left of a task's prefill.
     */
    boolean preemptedBySplit(EngineTask task, double now) {
        return !task.decoding && (decodingTasks == 0 || task.severalPasses || !task.started(now));
    }

    /** Records the first token of a job. Its task at a helper that holds no memory for it is removed. */
    void firstToken(JobId id, String engine) {
        EngineTask task = tasks.get(id);
        if (task == null || task.decoding) {
            return;
        }
        if (!task.job.decodeEngine().equals(engine) && task.heldTokens == 0) {
            tasks.remove(id);
            return;
        }
        task.decoding = true;
        decodingTasks++;
        decodingContextTokens += task.heldTokens;
    }

    void remove(JobId id) {
        EngineTask task = tasks.remove(id);
        if (task != null && task.decoding) {
            decodingTasks--;
            decodingContextTokens -= task.heldTokens;
        }
    }

    Iterable<EngineTask> tasks() {
        return tasks.values();
    }

    boolean idle() {
        return tasks.isEmpty();
    }

    /** Returns the number of slots in use: one for each job that this engine decodes or will decode. */
    int usedSlots(String engine) {
        int count = 0;
        for (EngineTask task : tasks.values()) {
            if (task.job.decodeEngine().equals(engine)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the memory that the tasks take, in tokens. */
    double memoryTokens() {
        double sum = 0;
        for (EngineTask task : tasks.values()) {
            sum += task.heldTokens;
        }
        return sum;
    }

    /** Returns the memory that all tasks together may take, in tokens. */
    double usableTokens() {
        return usableTokens(profile);
    }

    /** Returns the memory of an engine that requests may take in all, in tokens. */
    static double usableTokens(EngineProfile profile) {
        return profile.memoryTokens() * USABLE_MEMORY_SHARE;
    }

    /**
     * Predicts the time in which an answer is decoded, in milliseconds, with all tasks that are here decoding beside
     * it. Later prefills are assumed to take the share of the time that others took recently.
     *
     * @param outputTokens length of the answer
     * @param id id of its job, whose own prefill does not count
     * @param now time in milliseconds
     */
    double decodeMillis(long outputTokens, JobId id, double now) {
        double passes = (double) outputTokens / profile.stepsPerPass() + 1;
        double undisturbed = passes * profile.passMillis(Math.max(1, tasks.size()), memoryTokens());
        return undisturbed / (1 - prefillShare(id, now));
    }

    private double prefillShare(JobId id, double now) {
        EngineTask own = tasks.get(id);
        return own == null ? prefillLoad.share(1, now) : prefillLoad.shareWithout(own.prefillMillis, own.placedAt, now);
    }

    /** Predicts the time until the prefill of a job is finished, in milliseconds; 0 if the job has none here. */
    double untilPrefilledMillis(JobId id, double now) {
        EngineTask task = tasks.get(id);
        return task == null || task.decoding ? 0 : task.untilDoneMillis(now);
    }

    /** Predicts the length of a pass without prefills, in milliseconds. */
    double passMillis() {
        return profile.passMillis(decodingTasks, decodingContextTokens);
    }

    /** Predicts the time until a prefill that arrives now starts, in milliseconds. Split prefills preempt others. */
    double startDelayMillis(double now, boolean split) {
        double before = 0;
        for (EngineTask task : tasks.values()) {
            if (!task.decoding && !(split && preemptedBySplit(task, now))) {
                before += task.leftMillis(now);
            }
        }
        double current = decodingTasks > 0 ? passMillis() / 2 : 0;
        return current + before;
    }

    /** Returns the total length of the prefills that are not finished, including the part already done of each. */
    double pendingPrefillMillis() {
        double sum = 0;
        for (EngineTask task : tasks.values()) {
            sum += task.decoding ? 0 : task.prefillMillis;
        }
        return sum;
    }

    /** Returns the total length of the prefills that are predicted to start in the next pass. */
    double nextPassPrefillMillis(double now) {
        double sum = 0;
        for (EngineTask task : tasks.values()) {
            if (!task.decoding && !task.started(now)) {
                sum += task.prefillMillis;
            }
        }
        return sum;
    }
}
