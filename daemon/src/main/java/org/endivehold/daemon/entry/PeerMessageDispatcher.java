package org.endivehold.daemon.entry;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.peer.CopyExchange;
import org.endivehold.relay.peer.PeerListener;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.schedule.JobReplicator;
import org.endivehold.relay.schedule.SharedScheduler;

/** Dispatches the messages of other daemons to the components that handle them. */
final class PeerMessageDispatcher implements PeerListener {
    private final JobReplicator engines;
    private final UpstreamHealth health;
    private final Ticker ticker;
    private SharedScheduler scheduler;
    private CopyExchange copies;

    PeerMessageDispatcher(JobReplicator engines, UpstreamHealth health, Ticker ticker) {
        this.engines = engines;
        this.health = health;
        this.ticker = ticker;
    }

    /**
     * Sets the scheduler and the exchange of store copies. They cannot be constructor parameters, since both need the
     * connections to other daemons, which need this dispatcher.
     */
    void setReceivers(SharedScheduler schedulerValue, CopyExchange copiesValue) {
        scheduler = schedulerValue;
        copies = copiesValue;
    }

    @Override
    public void onMessage(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.JobDecoding decoding) {
            engines.tracker()
                    .decodeEngine(decoding.id())
                    .ifPresent(engine -> health.recordAnswer(engine, (double) ticker.millis()));
        }
        if (scheduler.handleMessage(daemon, message)
                || engines.handleMessage(message)
                || copies.handle(daemon, message)) {
            return;
        }
        if (message instanceof PeerMessage.UpstreamFailed failed) {
            double now = (double) ticker.millis();
            health.eject(failed.upstream(), now + failed.ejectionMillis(), now);
        } else if (message instanceof PeerMessage.UpstreamObserved observed) {
            upstreamObserved(observed, (double) ticker.millis());
        }
    }

    private void upstreamObserved(PeerMessage.UpstreamObserved observed, double now) {
        if (observed.failed()) {
            health.recordFailureAnswer(observed.upstream(), now);
        } else {
            health.slowdown(observed.upstream(), observed.slowdown(), now);
        }
    }

    @Override
    public void onDisconnected(String daemon) {
        scheduler.daemonLost(daemon);
        engines.tracker().removeDaemon(daemon);
    }

    @Override
    public void onUnreachable(String daemon) {
        scheduler.daemonUnreachable(daemon);
    }

    @Override
    public List<PeerMessage> initialMessages() {
        return engines.initialMessages();
    }

    @Override
    public Optional<PeerMessage.Copy> copy(String prefix, long newerThan) {
        return copies.copy(prefix, newerThan);
    }
}
