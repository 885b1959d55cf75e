package org.endivehold.relay.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivehold.relay.route.EngineProfile;

/**
 * The requests that lie at the engines, own ones and those that other daemons told of.
 *
 * <p>Own requests are exact. What others told is as old as their last message, and is dropped when it is too old to be
 * still running, so that a daemon that dies takes no engine with it.
 */
public final class EngineBoard {
    /** Extra time after the predicted end at which a request of another daemon is forgotten, in milliseconds. */
    private static final double FORGET_AFTER_MILLIS = 5_000;

    private final Map<String, EngineLoad> loads = new HashMap<>();
    private final PartLoad partLoad = new PartLoad();
    private final Map<JobId, Entry> jobs = new LinkedHashMap<>();

    /** A request and what has to be known to account for it at an engine that becomes known later. */
    private static final class Entry {
        private final EngineJob job;
        private final double placedAt;
        private final double pace;
        private double expiresAt;
        private boolean writing;

        Entry(EngineJob job, double placedAt, double pace) {
            this.job = job;
            this.placedAt = placedAt;
            this.pace = pace;
            this.expiresAt = placedAt + FORGET_AFTER_MILLIS;
        }
    }

    /** States that an engine exists and how fast it is; requests that were told of before count from now on. */
    public void engine(String id, EngineProfile profile) {
        EngineLoad known = loads.get(id);
        if (known == null || !known.profile().equals(profile)) {
            loads.put(id, new EngineLoad(profile));
            jobs.values().stream()
                    .filter(entry -> entry.job.engines().contains(id))
                    .forEach(entry -> place(entry, id));
        }
    }

    /** Forgets engines that are gone. */
    public void retain(Collection<String> engines) {
        loads.entrySet()
                .removeIf(e -> !engines.contains(e.getKey()) && e.getValue().idle());
    }

    /**
     * Adds a request that was sent to engines.
     *
     * @param job the request
     * @param now time in milliseconds
     * @param pace how many times slower than its profile the writing engine is
     */
    public void add(EngineJob job, double now, double pace) {
        if (jobs.containsKey(job.id())) {
            return;
        }
        Entry entry = new Entry(job, now, pace);
        jobs.put(job.id(), entry);
        job.engines().forEach(engine -> place(entry, engine));
    }

    private void place(Entry entry, String engine) {
        EngineLoad load = loads.get(engine);
        if (load == null) {
            return;
        }
        EngineJob job = entry.job;
        if (job.engines().size() > 1) {
            partLoad.add(
                    load.profile()
                            .prefillMillis(job.promptTokens(), job.engines().size()),
                    entry.placedAt);
        }
        load.add(job, engine, entry.placedAt, entry.pace);
        double end = entry.placedAt + 2 * predictedRun(load, job) + FORGET_AFTER_MILLIS;
        entry.expiresAt = Math.max(entry.expiresAt, end);
        if (entry.writing) {
            load.firstToken(job.id(), engine);
        }
    }

    private static double predictedRun(EngineLoad load, EngineJob job) {
        EngineProfile profile = load.profile();
        double passes = (double) job.outputTokens() / profile.stepsPerPass() + 1;
        return profile.prefillMillis(job.promptTokens(), job.engines().size()) + passes * load.passMillis();
    }

    /** Notes that a request produced its first token: the read is over. */
    public void firstToken(JobId id) {
        Entry entry = jobs.get(id);
        if (entry == null) {
            return;
        }
        entry.writing = true;
        for (String engine : entry.job.engines()) {
            EngineLoad load = loads.get(engine);
            if (load != null) {
                load.firstToken(id, engine);
            }
        }
    }

    /** Removes a request that ended. */
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

    /** Removes all requests of a daemon, or of an earlier start of it. */
    public void removeDaemon(String daemon) {
        for (JobId id : new ArrayList<>(jobs.keySet())) {
            if (id.daemon().equals(daemon)) {
                remove(id);
            }
        }
    }

    /** Removes requests of other daemons that must have ended. */
    public void expire(double now, String self) {
        List<JobId> old = new ArrayList<>();
        jobs.forEach((id, entry) -> {
            if (entry.expiresAt < now && !id.daemon().equals(self)) {
                old.add(id);
            }
        });
        old.forEach(this::remove);
    }

    /** Returns the requests of one daemon. */
    public List<EngineJob> jobsOf(String daemon) {
        return jobs.values().stream()
                .map(entry -> entry.job)
                .filter(job -> job.id().daemon().equals(daemon))
                .toList();
    }

    /** Returns the engine that writes the answer of a request; empty if it is not known. */
    public Optional<String> writer(JobId id) {
        return Optional.ofNullable(jobs.get(id)).map(entry -> entry.job.writer());
    }

    /** Tells whether a request is at engines. */
    public boolean knows(JobId id) {
        return jobs.containsKey(id);
    }

    /** Tells whether a request has produced its first token. */
    public boolean writing(JobId id) {
        Entry entry = jobs.get(id);
        return entry != null && entry.writing;
    }

    /** Counts the requests that hold a slot of an engine. */
    public int occupied(String engine) {
        EngineLoad load = loads.get(engine);
        return load == null ? 0 : load.occupied(engine);
    }

    /** Returns how long the reads that lie at an engine take together, in milliseconds. */
    public double pendingReadMillis(String engine) {
        EngineLoad load = loads.get(engine);
        return load == null ? 0 : load.pendingReads();
    }

    /** Returns how long the reads that lie at an engine take on average, in milliseconds. */
    public double meanPendingReadMillis() {
        return loads.values().stream()
                .mapToDouble(EngineLoad::pendingReads)
                .average()
                .orElse(0);
    }

    /** Returns the share of an engine's time that parts of divided prompts took lately. */
    double partShare(double now) {
        return partLoad.share(loads.size(), now);
    }

    EngineLoad load(String engine) {
        return loads.get(engine);
    }
}
