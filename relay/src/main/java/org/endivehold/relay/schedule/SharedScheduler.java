package org.endivehold.relay.schedule;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.peer.PeerMessage;
import org.jboss.logging.Logger;

/**
 * Delegates decisions to one daemon for the whole fleet, and decides locally if no other daemon answers.
 *
 * <p>With many daemons, each learns of the others' requests too late to choose engines well: two daemons choose the
 * same idle engine at nearly the same moment. So one daemon, the decider, decides for all as long as it answers within
 * the timeout. There is no election or consensus: a daemon that gets no answer asks the next one, and finally decides
 * from its own tracker. A decider keeps tracking a request until the daemon that submitted it reports that it has
 * ended, or until that daemon disconnects.
 */
public final class SharedScheduler implements EngineScheduler {
    /** Time within which the decider has to answer, in milliseconds; an answer usually takes a few. */
    private static final int ANSWER_TIMEOUT_MILLIS = 60;
    /**
     * Interval after which a waiting request is submitted again, in milliseconds, since the decider may have failed.
     */
    private static final int RESUBMIT_MILLIS = 400;

    private static final Logger log = Logger.getLogger(SharedScheduler.class);

    private final Vertx vertx;
    private final Ticker ticker;
    private final String self;
    private final LocalScheduler local;
    private final JobReplicator jobs;
    private final SchedulerPeers peers;
    private final Map<JobId, DelegatedRequest> delegated = new HashMap<>();

    /** A request that another daemon was asked to decide. */
    private static final class DelegatedRequest {
        private final EngineRequest request;
        private final Listener listener;
        private final double submittedAt;
        private String decider = "";
        private long timer = -1;

        DelegatedRequest(EngineRequest request, Listener listener, double submittedAt) {
            this.request = request;
            this.listener = listener;
            this.submittedAt = submittedAt;
        }
    }

    /**
     * Creates a scheduler.
     *
     * @param vertx the event loop
     * @param ticker the clock
     * @param self name of this daemon with the number of its start
     * @param local decides at this daemon
     * @param jobs tracks the jobs at the engines
     * @param peers the other daemons
     */
    public SharedScheduler(
            Vertx vertx, Ticker ticker, String self, LocalScheduler local, JobReplicator jobs, SchedulerPeers peers) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.self = self;
        this.local = local;
        this.jobs = jobs;
        this.peers = peers;
    }

    @Override
    public void submit(EngineRequest request, Listener listener) {
        delegate(new DelegatedRequest(request, listener, (double) ticker.millis()));
    }

    @Override
    public void withdraw(JobId id) {
        local.withdraw(id);
        DelegatedRequest entry = removeDelegated(id);
        if (entry != null) {
            peers.send(entry.decider, new PeerMessage.JobEnded(id));
        }
    }

    /** Submits a request to the current decider, which may be this daemon. */
    private void delegate(DelegatedRequest entry) {
        EngineRequest request = entry.request.after(ticker.millis() - entry.submittedAt);
        entry.decider = peers.decider();
        if (entry.decider.equals(self)) {
            local.submit(request, entry.listener);
            return;
        }
        delegated.put(request.id(), entry);
        peers.send(entry.decider, new PeerMessage.PlacementRequest(request));
        entry.timer = vertx.setTimer(ANSWER_TIMEOUT_MILLIS, timer -> onAnswerTimeout(request.id()));
    }

    private void onAnswerTimeout(JobId id) {
        DelegatedRequest entry = removeDelegated(id);
        if (entry == null) {
            return;
        }
        LogEvent.of("decider-silent")
                .with("peer", entry.decider)
                .with("job", id)
                .with("waited_ms", ANSWER_TIMEOUT_MILLIS)
                .info(log);
        peers.suspect(entry.decider);
        peers.send(entry.decider, new PeerMessage.JobEnded(id));
        delegate(entry);
    }

    private DelegatedRequest removeDelegated(JobId id) {
        DelegatedRequest entry = delegated.remove(id);
        if (entry != null) {
            vertx.cancelTimer(entry.timer);
        }
        return entry;
    }

    /** Delegates again the requests that were delegated to a daemon that cannot be reached any more. */
    public void daemonUnreachable(String daemon) {
        List<DelegatedRequest> open = delegated.values().stream()
                .filter(entry -> entry.decider.equals(daemon))
                .toList();
        for (DelegatedRequest entry : open) {
            removeDelegated(entry.request.id());
            delegate(entry);
        }
    }

    /** Withdraws the waiting requests of a daemon that has disconnected. */
    public void daemonLost(String daemon) {
        local.withdrawAll(daemon);
    }

    /**
     * Handles a message of another daemon.
     *
     * @return whether the message is fully handled; false also for the end of a job, which the job tracker has to
     *     handle too
     */
    public boolean handleMessage(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.PlacementRequest placementRequest) {
            onPlacementRequest(daemon, placementRequest.request());
        } else if (message instanceof PeerMessage.PlacementQueued queued) {
            onPlacementQueued(queued.id());
        } else if (message instanceof PeerMessage.PlacementChosen chosen) {
            onPlacementChosen(daemon, chosen);
        } else if (message instanceof PeerMessage.PlacementRefused refused) {
            onPlacementRefused(refused);
        } else if (message instanceof PeerMessage.JobEnded ended) {
            local.withdraw(ended.id());
            return false;
        } else {
            return false;
        }
        return true;
    }

    /**
     * Decides a request of another daemon. A request that is already tracked has been placed before, and the answer has
     * been sent.
     */
    private void onPlacementRequest(String daemon, EngineRequest request) {
        JobId id = request.id();
        if (jobs.tracker().contains(id)) {
            return;
        }
        if (!local.isWaiting(id)) {
            local.submit(request, new RemoteListener(daemon, id));
        }
        if (local.isWaiting(id)) {
            peers.send(daemon, new PeerMessage.PlacementQueued(id));
        }
    }

    /** Sends the decision on a request to the daemon that submitted it. */
    private final class RemoteListener implements Listener {
        private final String daemon;
        private final JobId id;
        private Optional<WaitReason> reason = Optional.empty();

        RemoteListener(String daemon, JobId id) {
            this.daemon = daemon;
            this.id = id;
        }

        @Override
        public void explained(WaitReason why) {
            reason = Optional.of(why);
        }

        @Override
        public void placed(EngineJob job, Placement placement) {
            peers.send(daemon, new PeerMessage.PlacementChosen(job, placement, reason));
        }

        @Override
        public void refused(double retryAfterMillis) {
            peers.send(daemon, new PeerMessage.PlacementRefused(id, retryAfterMillis, reason));
        }
    }

    /** The request is waiting at the decider: replaces the answer timeout by the interval for submitting it again. */
    private void onPlacementQueued(JobId id) {
        DelegatedRequest entry = delegated.get(id);
        if (entry != null) {
            vertx.cancelTimer(entry.timer);
            entry.timer = vertx.setTimer(RESUBMIT_MILLIS, timer -> {
                delegated.remove(id);
                delegate(entry);
            });
        }
    }

    private void onPlacementRefused(PeerMessage.PlacementRefused refused) {
        DelegatedRequest entry = removeDelegated(refused.id());
        if (entry != null) {
            refused.reason().ifPresent(entry.listener::explained);
            entry.listener.refused(refused.retryAfterMillis());
        }
    }

    /**
     * Engines were chosen. If the request has ended or was placed elsewhere meanwhile, reports to the decider that the
     * job has ended.
     */
    private void onPlacementChosen(String daemon, PeerMessage.PlacementChosen chosen) {
        DelegatedRequest entry = removeDelegated(chosen.job().id());
        if (entry == null) {
            peers.send(daemon, new PeerMessage.JobEnded(chosen.job().id()));
        } else {
            chosen.reason().ifPresent(entry.listener::explained);
            entry.listener.placed(chosen.job(), chosen.placement());
        }
    }
}
