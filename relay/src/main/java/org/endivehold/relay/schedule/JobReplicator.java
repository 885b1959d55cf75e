package org.endivehold.relay.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.endivehold.misc.RendezvousHash;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.JobTracker;
import org.endivehold.relay.peer.PeerMessage;

/** Tracks the jobs at the engines: reports this daemon's jobs to the other daemons and applies their reports. */
public final class JobReplicator {
    /**
     * How long other daemons eject an engine that failed here, in milliseconds; short, as they may see it differently.
     */
    private static final int PEER_EJECTION_MILLIS = 500;

    /** Shortest time between two reports of one engine's slowdown, in milliseconds. */
    private static final long SLOWDOWN_REPORT_INTERVAL_MILLIS = 400;
    /** Least slowdown of an engine, relative to its profile, that is reported to other daemons. */
    private static final double MIN_REPORTED_SLOWDOWN = 1.25;

    private final JobTracker tracker = new JobTracker();
    private final Map<String, Long> slowdownReportedAt = new HashMap<>();
    private final Ticker ticker;
    private final String self;
    private final Consumer<PeerMessage> peers;
    private final List<Runnable> listeners = new ArrayList<>();
    private long next;

    /**
     * Creates it without jobs.
     *
     * @param ticker the clock
     * @param self name of this daemon with the number of its start
     * @param peers sends a message to all other daemons
     */
    public JobReplicator(Ticker ticker, String self, Consumer<PeerMessage> peers) {
        this.ticker = ticker;
        this.self = self;
        this.peers = peers;
    }

    /** Returns the tracker of the jobs of all daemons. */
    public JobTracker tracker() {
        return tracker;
    }

    /** Adds a listener to run when a job at any engine has finished its prefill or has ended. */
    public void onCapacityFreed(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns this daemon's fixed bias for an engine, from 0 to 1: evenly distributed, different at other daemons. */
    double bias(String engine) {
        int hash = RendezvousHash.rank(self, engine);
        return (hash >>> 1) / (double) Integer.MAX_VALUE;
    }

    /** Returns a new id for a request of this daemon. */
    public JobId nextId() {
        return new JobId(self, next++);
    }

    /** Notes that a request was sent to its engines. */
    public void begin(EngineJob job) {
        tracker.add(job, (double) ticker.millis(), 1);
        peers.accept(new PeerMessage.JobPlaced(job, false));
    }

    /** Notes that a request produced its first event. */
    public void firstToken(EngineJob job) {
        tracker.firstToken(job.id(), (double) ticker.millis());
        peers.accept(new PeerMessage.JobDecoding(job.id()));
        listeners.forEach(Runnable::run);
    }

    /** Notes that a request is at no engine any more. */
    public void end(EngineJob job) {
        tracker.remove(job.id());
        peers.accept(new PeerMessage.JobEnded(job.id()));
        listeners.forEach(Runnable::run);
    }

    /** Reports to other daemons that an engine failed, so that each does not have to find out with a request. */
    public void reportFailure(String engine) {
        peers.accept(new PeerMessage.UpstreamFailed(engine, PEER_EJECTION_MILLIS));
    }

    /**
     * Reports to other daemons that an engine failed a request that it ran, or how many times slower than its profile
     * it is. A slowdown that is small or was reported shortly before is not reported.
     */
    public void reportHealth(String engine, boolean failed, double slowdown) {
        long now = ticker.millis();
        Long last = slowdownReportedAt.get(engine);
        if (failed
                || (slowdown >= MIN_REPORTED_SLOWDOWN
                        && (last == null || now - last >= SLOWDOWN_REPORT_INTERVAL_MILLIS))) {
            slowdownReportedAt.put(engine, now);
            peers.accept(new PeerMessage.UpstreamObserved(engine, failed, slowdown));
        }
    }

    /** Returns the messages that report this daemon's current jobs to a daemon that has just connected. */
    public List<PeerMessage> initialMessages() {
        List<PeerMessage> messages = new ArrayList<>();
        for (EngineJob job : tracker.jobsOf(self)) {
            messages.add(new PeerMessage.JobPlaced(job, tracker.isDecoding(job.id())));
        }
        return messages;
    }

    /** Applies a message of another daemon if it reports on a job; returns whether it does. */
    public boolean handleMessage(PeerMessage message) {
        if (message instanceof PeerMessage.JobPlaced placed) {
            tracker.add(placed.job(), (double) ticker.millis(), 1);
            if (placed.decoding()) {
                tracker.firstToken(placed.job().id(), (double) ticker.millis());
            }
        } else if (message instanceof PeerMessage.JobDecoding decoding) {
            tracker.firstToken(decoding.id(), (double) ticker.millis());
        } else if (message instanceof PeerMessage.JobEnded ended) {
            tracker.remove(ended.id());
            listeners.forEach(Runnable::run);
        } else {
            return false;
        }
        return true;
    }
}
