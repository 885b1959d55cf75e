package org.endivehold.relay.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.endivehold.misc.Rendezvous;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.JobTracker;
import org.endivehold.relay.peer.PeerMessage;

/** Work at engines: keeps account of requests, tells other daemons of own ones and hears of theirs. */
public final class EngineWork {
    /** How long other daemons leave out an engine that failed here, in milliseconds: their own look may differ. */
    private static final int FAILED_OUT_MILLIS = 500;

    /** Pause between words to others about one engine's pace, in milliseconds. */
    private static final long PACE_PAUSE_MILLIS = 400;
    /** How many times slower than its profile an engine is when others are told. */
    private static final double SLOW_PACE = 1.25;

    private final JobTracker board = new JobTracker();
    private final Map<String, Long> paceTold = new HashMap<>();
    private final Ticker ticker;
    private final String self;
    private final Consumer<PeerMessage> peers;
    private final List<Runnable> listeners = new ArrayList<>();
    private long next;

    /**
     * Creates the account.
     *
     * @param ticker the clock
     * @param self name of this daemon with the number of its start
     * @param peers tells other daemons
     */
    public EngineWork(Ticker ticker, String self, Consumer<PeerMessage> peers) {
        this.ticker = ticker;
        this.self = self;
        this.peers = peers;
    }

    /** Returns the account itself. */
    public JobTracker board() {
        return board;
    }

    /** Adds something to run when work has ended somewhere. */
    public void onRoom(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Returns this daemon's dislike of an engine, from 0 to 1: spread evenly, always the same, other daemons differ.
     */
    double preference(String engine) {
        int hash = Rendezvous.rank(self, engine);
        return (hash >>> 1) / (double) Integer.MAX_VALUE;
    }

    /** Returns a name for the next request of this daemon. */
    public JobId nextId() {
        return new JobId(self, next++);
    }

    /** Notes that a request was sent to its engines. */
    public void begin(EngineJob job) {
        board.add(job, (double) ticker.millis(), 1);
        peers.accept(new PeerMessage.JobPlaced(job, false));
    }

    /** Notes that a request produced its first event. */
    public void firstToken(EngineJob job) {
        board.firstToken(job.id());
        peers.accept(new PeerMessage.JobWriting(job.id()));
        listeners.forEach(Runnable::run);
    }

    /** Notes that a request is at no engine any more. */
    public void end(EngineJob job) {
        board.remove(job.id());
        peers.accept(new PeerMessage.JobEnded(job.id()));
        listeners.forEach(Runnable::run);
    }

    /** Tells other daemons that an engine failed, so that not each of them has to find out with a request. */
    public void tellFailed(String engine) {
        peers.accept(new PeerMessage.UpstreamFailed(engine, FAILED_OUT_MILLIS));
    }

    /** Tells other daemons how an engine serves: that it failed a request it ran, or how slow it is. */
    public void tellSeen(String engine, boolean failed, double pace) {
        long now = ticker.millis();
        Long last = paceTold.get(engine);
        if (failed || (pace >= SLOW_PACE && (last == null || now - last >= PACE_PAUSE_MILLIS))) {
            paceTold.put(engine, now);
            peers.accept(new PeerMessage.UpstreamSeen(engine, failed, pace));
        }
    }

    /** Returns what a daemon that connects has to know of this one's work. */
    public List<PeerMessage> introduction() {
        List<PeerMessage> messages = new ArrayList<>();
        for (EngineJob job : board.jobsOf(self)) {
            messages.add(new PeerMessage.JobPlaced(job, board.isDecoding(job.id())));
        }
        return messages;
    }

    /** Takes what another daemon told; returns whether it was about work. */
    public boolean told(PeerMessage message) {
        if (message instanceof PeerMessage.JobPlaced placed) {
            board.add(placed.job(), (double) ticker.millis(), 1);
            if (placed.writing()) {
                board.firstToken(placed.job().id());
            }
        } else if (message instanceof PeerMessage.JobWriting writing) {
            board.firstToken(writing.id());
        } else if (message instanceof PeerMessage.JobEnded ended) {
            board.remove(ended.id());
            listeners.forEach(Runnable::run);
        } else {
            return false;
        }
        return true;
    }
}
