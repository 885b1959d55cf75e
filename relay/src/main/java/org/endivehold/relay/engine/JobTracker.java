package org.endivehold.relay.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.endivehold.relay.route.EngineProfile;

/**
 * Tracks the jobs that run or wait at the engines: those placed by this daemon and those reported by other daemons.
 *
 * <p>This daemon's own jobs are exact. A job of another daemon is only as current as that daemon's last message. It is
 * dropped once it can no longer be running, so that a daemon that dies does not leave engines looking busy.
 */
public final class JobTracker {
    /** Time after the predicted end of another daemon's job at which the job is dropped, in milliseconds. */
    private static final double EXPIRY_MARGIN_MILLIS = 5_000;

    private final Map<String, EngineLoad> loads = new HashMap<>();
    private final PartLoad splitPrefillLoad = new PartLoad();
    private final Map<JobId, Entry> jobs = new LinkedHashMap<>();
    private final List<Consumer<EngineJob>> addedListeners = new ArrayList<>();

    /** A job with what is needed to add it to the load of an engine that is registered after the job was reported. */
    private static final class Entry {
        private final EngineJob job;
        private final double placedAt;
        private final double slowdown;
        private double expiresAt;
        private boolean decoding;
        private double decodingSince;

        Entry(EngineJob job, double placedAt, double slowdown) {
            this.job = job;
            this.placedAt = placedAt;
            this.slowdown = slowdown;
            this.expiresAt = placedAt + EXPIRY_MARGIN_MILLIS;
        }
    }

    /** Adds a listener that learns of each job when it is added for the first time. */
    public void onAdded(Consumer<EngineJob> listener) {
        addedListeners.add(listener);
    }

    /** Adds an engine, or replaces its profile. Jobs that were added earlier for this engine now count in its load. */
    public void registerEngine(String id, EngineProfile profile) {
        EngineLoad known = loads.get(id);
        if (known == null || !known.profile().equals(profile)) {
            loads.put(id, new EngineLoad(profile));
            jobs.values().stream()
                    .filter(entry -> entry.job.engines().contains(id))
                    .forEach(entry -> addToEngine(entry, id));
        }
    }

    /** Removes the engines that are not among the given ids and have no jobs. */
    public void retain(Collection<String> engines) {
        loads.entrySet()
                .removeIf(e -> !engines.contains(e.getKey()) && e.getValue().idle());
    }

    /**
     * Adds a job that was sent to engines; has no effect if it was added before.
     *
     * @param job the job
     * @param now time in milliseconds
     * @param slowdown how many times slower than its profile the engine is that decodes the answer
     */
    public void add(EngineJob job, double now, double slowdown) {
        if (jobs.containsKey(job.id())) {
            return;
        }
        Entry entry = new Entry(job, now, slowdown);
        jobs.put(job.id(), entry);
        job.engines().forEach(engine -> addToEngine(entry, engine));
        addedListeners.forEach(listener -> listener.accept(job));
    }

    private void addToEngine(Entry entry, String engine) {
        EngineLoad load = loads.get(engine);
        if (load == null) {
            return;
        }
        EngineJob job = entry.job;
        if (job.engines().size() > 1) {
            splitPrefillLoad.add(
                    load.profile()
                            .prefillMillis(job.promptTokens(), job.engines().size()),
                    entry.placedAt);
        }
        load.add(job, engine, entry.placedAt, entry.slowdown);
        double end = entry.placedAt + 2 * predictedRunMillis(load, job) + EXPIRY_MARGIN_MILLIS;
        entry.expiresAt = Math.max(entry.expiresAt, end);
        if (entry.decoding) {
            load.firstToken(job.id(), engine);
        }
    }

    private static double predictedRunMillis(EngineLoad load, EngineJob job) {
        EngineProfile profile = load.profile();
        double passes = (double) job.outputTokens() / profile.stepsPerPass() + 1;
        return profile.prefillMillis(job.promptTokens(), job.engines().size()) + passes * load.passMillis();
    }

    /**
     * Records that a job produced its first token: its prefill is over at all its engines.
     *
     * @param id id of the job
     * @param now time in milliseconds
     */
    public void firstToken(JobId id, double now) {
        Entry entry = jobs.get(id);
        if (entry == null) {
            return;
        }
        if (!entry.decoding) {
            entry.decoding = true;
            entry.decodingSince = now;
        }
        for (String engine : entry.job.engines()) {
            EngineLoad load = loads.get(engine);
            if (load != null) {
                load.firstToken(id, engine);
            }
        }
    }

    /** Removes a job that ended; has no effect if it is unknown. */
    public void remove(JobId id) {
        Entry entry = jobs.remove(id);
        if (entry == null) {
            return;
        }
        for (String engine : entry.job.engines()) {
            EngineLoad load = loads.get(engine);
            if (load != null) {
                load.remove(id);
            }
        }
    }

    /**
     * Removes all jobs of one run of a daemon.
     *
     * @param daemon name of the daemon with the number of its start, as in {@link JobId#daemon()}
     */
    public void removeDaemon(String daemon) {
        for (JobId id : new ArrayList<>(jobs.keySet())) {
            if (id.daemon().equals(daemon)) {
                remove(id);
            }
        }
    }

    /**
     * Removes the jobs of other daemons that must have ended by now.
     *
     * @param now time in milliseconds
     * @param self name of this daemon with the number of its start; its own jobs never expire
     */
    public void expire(double now, String self) {
        List<JobId> expired = new ArrayList<>();
        jobs.forEach((id, entry) -> {
            if (entry.expiresAt < now && !id.daemon().equals(self)) {
                expired.add(id);
            }
        });
        expired.forEach(this::remove);
    }

    /** Returns the jobs that one run of a daemon placed. */
    public List<EngineJob> jobsOf(String daemon) {
        return jobs.values().stream()
                .map(entry -> entry.job)
                .filter(job -> job.id().daemon().equals(daemon))
                .toList();
    }

    /** Returns the engine that decodes the answer of a job; empty if the job is unknown. */
    public Optional<String> decodeEngine(JobId id) {
        return Optional.ofNullable(jobs.get(id)).map(entry -> entry.job.decodeEngine());
    }

    /** Returns whether a job has been added and has not ended. */
    public boolean contains(JobId id) {
        return jobs.containsKey(id);
    }

    /** Returns whether a job has produced its first token; false if the job is unknown. */
    public boolean isDecoding(JobId id) {
        Entry entry = jobs.get(id);
        return entry != null && entry.decoding;
    }

    /** Returns the number of slots in use at an engine; 0 if the engine is unknown. */
    public int usedSlots(String engine) {
        EngineLoad load = loads.get(engine);
        return load == null ? 0 : load.usedSlots(engine);
    }

    /** Returns the room at an engine and when more of it is predicted to come free; empty if it is unknown. */
    public Optional<EngineRoom> room(String engine, double now) {
        EngineLoad load = loads.get(engine);
        if (load == null) {
            return Optional.empty();
        }
        List<PredictedRelease> releases = new ArrayList<>();
        for (EngineTask task : load.tasks()) {
            int slots = task.job.decodeEngine().equals(engine) ? 1 : 0;
            if (slots > 0 || task.heldTokens > 0) {
                releases.add(new PredictedRelease(predictedEnd(task.job.id(), now), task.heldTokens, slots));
            }
        }
        double freeTokens = load.usableTokens() - load.memoryTokens();
        int freeSlots = load.profile().slots() - load.usedSlots(engine);
        return Optional.of(new EngineRoom(engine, freeTokens, freeSlots, releases));
    }

    /**
     * Predicts when a job ends, in milliseconds. Its answer is assumed to have its maximum length. A job that runs
     * longer than that is assumed to need another part of its decoding time, so that its end always lies ahead.
     */
    private double predictedEnd(JobId id, double now) {
        Entry entry = jobs.get(id);
        EngineLoad load = loads.get(entry.job.decodeEngine());
        if (load == null) {
            return Math.max(now, entry.expiresAt);
        }
        double decode = load.decodeMillis(entry.job.outputTokens(), id, now) * entry.slowdown;
        if (entry.decoding) {
            double least = EngineLoad.OVERDUE_REMAINING_SHARE * decode;
            double left = entry.decodingSince + decode - now;
            return now + Math.max(least, left);
        }
        double prefilled = 0;
        for (String engine : entry.job.engines()) {
            EngineLoad part = loads.get(engine);
            prefilled = Math.max(prefilled, part == null ? 0 : part.untilPrefilledMillis(id, now));
        }
        return now + prefilled + decode;
    }

    /**
     * Predicts when a request ends if it is sent to one engine now.
     *
     * @param engine id of the engine
     * @param id id of the request
     * @param need the request
     * @param slowdown how many times slower than its profile the engine is
     * @param now time in milliseconds
     * @return time in milliseconds; infinite if the engine is unknown
     */
    public double predictedEnd(String engine, JobId id, PromptNeed need, double slowdown, double now) {
        EngineLoad load = loads.get(engine);
        if (load == null) {
            return Double.POSITIVE_INFINITY;
        }
        double prefill = load.profile().prefillMillis(need.promptTokens(), 1);
        double decode = load.decodeMillis(need.outputTokens(), id, now);
        return now + (load.startDelayMillis(now, false) + prefill + decode) * slowdown;
    }

    /** Returns the total length of the prefills that are not finished at an engine, in milliseconds. */
    public double pendingPrefillMillis(String engine) {
        EngineLoad load = loads.get(engine);
        return load == null ? 0 : load.pendingPrefillMillis();
    }

    /** Returns the total length of the unfinished prefills of an engine, averaged over all engines, in milliseconds. */
    public double meanPendingPrefillMillis() {
        return loads.values().stream()
                .mapToDouble(EngineLoad::pendingPrefillMillis)
                .average()
                .orElse(0);
    }

    /** Returns the share of an engine's time that split prefills took recently, averaged over all engines. */
    double splitPrefillShare(double now) {
        return splitPrefillLoad.share(loads.size(), now);
    }

    /** Returns the load of an engine; null if the engine is not registered. */
    EngineLoad load(String engine) {
        return loads.get(engine);
    }
}
