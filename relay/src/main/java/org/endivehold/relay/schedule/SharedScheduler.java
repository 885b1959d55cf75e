package org.endivehold.relay.schedule;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.peer.PeerMessage;
import org.jboss.logging.Logger;

/**
 * Has the daemon decide that knows most, and decides here when none answers.
 *
 * <p>In a large fleet each daemon hears of the others' requests too late to choose engines well: two daemons choose the
 * same idle engine within the same moment. So one daemon decides for all, as long as it answers within a few
 * milliseconds. Its decisions bind nobody: a daemon that gets no answer asks the next one, and in the end decides from
 * its own account. A daemon that was asked keeps the request in its account until the asker says that it has ended, or
 * is gone.
 */
public final class SharedScheduler implements EngineScheduler {
    /** Time in which a daemon that is asked has to answer, in milliseconds; an answer takes a few. */
    private static final int ANSWER_MILLIS = 60;
    /** Pause after which a request that waits is asked for again: whoever decides may be gone. */
    private static final int ASK_AGAIN_MILLIS = 400;

    private static final Logger log = Logger.getLogger(SharedScheduler.class);

    private final Vertx vertx;
    private final Ticker ticker;
    private final String self;
    private final LocalScheduler local;
    private final EngineWork engines;
    private final SchedulerPeers peers;
    private final Map<JobId, Asked> asked = new HashMap<>();

    /** A request about which another daemon is asked. */
    private static final class Asked {
        private final EngineRequest request;
        private final Listener listener;
        private final double since;
        private String decider = "";
        private long timer = -1;

        Asked(EngineRequest request, Listener listener, double since) {
            this.request = request;
            this.listener = listener;
            this.since = since;
        }
    }

    /**
     * Creates a scheduler.
     *
     * @param vertx the event loop
     * @param ticker the clock
     * @param self name of this daemon with the number of its start
     * @param local decides here
     * @param engines account of engines
     * @param peers the other daemons
     */
    public SharedScheduler(
            Vertx vertx, Ticker ticker, String self, LocalScheduler local, EngineWork engines, SchedulerPeers peers) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.self = self;
        this.local = local;
        this.engines = engines;
        this.peers = peers;
    }

    @Override
    public void submit(EngineRequest request, Listener listener) {
        ask(new Asked(request, listener, (double) ticker.millis()));
    }

    @Override
    public void withdraw(JobId id) {
        local.withdraw(id);
        Asked entry = forget(id);
        if (entry != null) {
            peers.send(entry.decider, new PeerMessage.JobEnded(id));
        }
    }

    private void ask(Asked entry) {
        EngineRequest request = entry.request.after(ticker.millis() - entry.since);
        entry.decider = peers.decider();
        if (entry.decider.equals(self)) {
            local.submit(request, entry.listener);
            return;
        }
        asked.put(request.id(), entry);
        peers.send(entry.decider, new PeerMessage.EnginesWanted(request));
        entry.timer = vertx.setTimer(ANSWER_MILLIS, timer -> notAnswered(request.id()));
    }

    private void notAnswered(JobId id) {
        Asked entry = forget(id);
        if (entry == null) {
            return;
        }
        LogEvent.of("decider-silent")
                .with("peer", entry.decider)
                .with("job", id)
                .with("waited_ms", ANSWER_MILLIS)
                .info(log);
        peers.suspect(entry.decider);
        peers.send(entry.decider, new PeerMessage.JobEnded(id));
        ask(entry);
    }

    private Asked forget(JobId id) {
        Asked entry = asked.remove(id);
        if (entry != null) {
            vertx.cancelTimer(entry.timer);
        }
        return entry;
    }

    /** Asks others about what a daemon that is no longer reached was asked. */
    public void unreachable(String daemon) {
        List<Asked> open = asked.values().stream()
                .filter(entry -> entry.decider.equals(daemon))
                .toList();
        for (Asked entry : open) {
            forget(entry.request.id());
            ask(entry);
        }
    }

    /** Drops what a daemon that is gone asked for. */
    public void lost(String daemon) {
        local.withdrawAll(daemon);
    }

    /**
     * Takes what another daemon asked or answered.
     *
     * @return whether nobody else has to hear of it; the end of a request also concerns the account of engines
     */
    public boolean told(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.EnginesWanted wanted) {
            wanted(daemon, wanted.request());
        } else if (message instanceof PeerMessage.EnginesAwaited awaited) {
            awaited(awaited.id());
        } else if (message instanceof PeerMessage.EnginesChosen chosen) {
            chosen(daemon, chosen);
        } else if (message instanceof PeerMessage.EnginesRefused refused) {
            refused(refused);
        } else if (message instanceof PeerMessage.JobEnded ended) {
            local.withdraw(ended.id());
            return false;
        } else {
            return false;
        }
        return true;
    }

    /** Another daemon wants engines; what was placed for it already is in the account, and its answer under way. */
    private void wanted(String daemon, EngineRequest request) {
        JobId id = request.id();
        if (engines.board().contains(id)) {
            return;
        }
        if (!local.waitsFor(id)) {
            local.submit(request, new Listener() {
                @Override
                public void placed(EngineJob job, Placement placement) {
                    peers.send(daemon, new PeerMessage.EnginesChosen(job, placement));
                }

                @Override
                public void refused(double retryAfterMillis) {
                    peers.send(daemon, new PeerMessage.EnginesRefused(id, retryAfterMillis));
                }
            });
        }
        if (local.waitsFor(id)) {
            peers.send(daemon, new PeerMessage.EnginesAwaited(id));
        }
    }

    private void awaited(JobId id) {
        Asked entry = asked.get(id);
        if (entry != null) {
            vertx.cancelTimer(entry.timer);
            entry.timer = vertx.setTimer(ASK_AGAIN_MILLIS, timer -> {
                asked.remove(id);
                ask(entry);
            });
        }
    }

    private void refused(PeerMessage.EnginesRefused refused) {
        Asked entry = forget(refused.id());
        if (entry != null) {
            entry.listener.refused(refused.retryAfterMillis());
        }
    }

    /** Engines were chosen; if the request has ended or was placed otherwise meanwhile, the choice is given back. */
    private void chosen(String daemon, PeerMessage.EnginesChosen chosen) {
        Asked entry = forget(chosen.job().id());
        if (entry == null) {
            peers.send(daemon, new PeerMessage.JobEnded(chosen.job().id()));
        } else {
            entry.listener.placed(chosen.job(), chosen.placement());
        }
    }
}
