package org.endivehold.relay.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.endivehold.relay.route.EngineProfile;

/**
 * Predicts when engines have room for a request, from the predicted ends of the jobs that they run.
 *
 * <p>A request needs a slot and memory at one engine, or memory for a part of its context at several of them and a slot
 * at one. The time is that at which the jobs that end first have left so much; what other waiting requests take in the
 * meantime is not considered. Jobs are assumed to use all the output tokens that they asked for, so most end earlier.
 *
 * <p>Example: two engines with memory for 200,000 tokens hold 150,000 each, of jobs that end in 1 s and in 3 s. A
 * request of 100,000 tokens has room at the first engine after 1 s. One of 300,000 tokens needs both, after 3 s.
 */
public final class RoomForecast {
    /**
     * Largest number of engines that hold parts of one context: the decoding engine and at most
     * {@code MAX_CACHE_HELPERS} helpers, see {@link EnginePlacement}.
     */
    private static final int MAX_PARTS = 9;
    /** Share of an engine's memory that requests may take in all; the same as in {@link EngineLoad}. */
    private static final double USABLE_MEMORY_SHARE = 0.97;

    private final List<List<Release>> engines = new ArrayList<>();
    private final List<Long> freeSlots = new ArrayList<>();
    private final List<Double> freeTokens = new ArrayList<>();

    /** What an engine gets back when a task ends. */
    private record Release(double inMillis, long tokens, boolean slot) {}

    private RoomForecast(JobTracker tracker, Collection<String> ids, double now) {
        for (String id : ids) {
            EngineLoad load = tracker.load(id);
            if (load != null) {
                add(id, load, now);
            }
        }
    }

    private void add(String id, EngineLoad load, double now) {
        int decoding = Math.max(1, load.usedSlots(id));
        double passMillis = load.profile().passMillis(decoding, load.memoryTokens());
        List<Release> releases = new ArrayList<>();
        for (EngineTask task : load.tasks()) {
            boolean decodes = task.job.decodeEngine().equals(id);
            releases.add(new Release(leftMillis(task, load.profile(), passMillis, now), task.heldTokens, decodes));
        }
        releases.sort(Comparator.comparingDouble(Release::inMillis));
        engines.add(releases);
        freeSlots.add((long) load.profile().slots() - load.usedSlots(id));
        freeTokens.add(load.profile().memoryTokens() * USABLE_MEMORY_SHARE - load.memoryTokens());
    }

    private static double leftMillis(EngineTask task, EngineProfile profile, double passMillis, double now) {
        double passes = (double) task.job.outputTokens() / profile.stepsPerPass() + 1;
        double decode = task.heldTokens > 0 ? passes * passMillis : 0;
        if (!task.decoding) {
            return task.untilDoneMillis(now) + decode;
        }
        return Math.max(0, task.placedAt + task.prefillMillis + decode - now);
    }

    /**
     * Returns the predicted time until engines have room for a request.
     *
     * @param tracker the jobs at the engines
     * @param engines the engines that may be used; those not registered with the tracker are ignored
     * @param need the request
     * @param now time in milliseconds, of the tracker's clock
     * @return milliseconds; 0 if there is room now, infinite if there never is
     */
    public static double millisUntilRoom(JobTracker tracker, Collection<String> engines, PromptNeed need, double now) {
        return new RoomForecast(tracker, engines, now).millisUntilRoom(need.memoryTokens());
    }

    private double millisUntilRoom(long tokens) {
        double best = engineTimes(tokens, true)[0];
        double slot = engineTimes(0, true)[0];
        for (int parts = 2; parts <= Math.min(MAX_PARTS, engines.size()); parts++) {
            best = Math.min(best, Math.max(slot, engineTimes(tokens / parts, false)[parts - 1]));
        }
        return best;
    }

    /** Returns the times at which the engines have memory and possibly a slot, the earliest first. */
    private double[] engineTimes(long tokens, boolean needsSlot) {
        double[] times = new double[Math.max(1, engines.size())];
        Arrays.fill(times, Double.POSITIVE_INFINITY);
        for (int i = 0; i < engines.size(); i++) {
            times[i] = engineTime(i, tokens, needsSlot);
        }
        Arrays.sort(times);
        return times;
    }

    private double engineTime(int engine, long tokens, boolean needsSlot) {
        double free = freeTokens.get(engine);
        long slots = freeSlots.get(engine);
        double time = 0;
        for (Release release : engines.get(engine)) {
            if (free >= tokens && (!needsSlot || slots > 0)) {
                return time;
            }
            time = release.inMillis();
            free += release.tokens();
            slots += release.slot() ? 1 : 0;
        }
        return free >= tokens && (!needsSlot || slots > 0) ? time : Double.POSITIVE_INFINITY;
    }
}
