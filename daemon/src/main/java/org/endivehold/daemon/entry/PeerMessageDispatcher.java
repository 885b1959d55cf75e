package org.endivehold.daemon.entry;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.peer.CopyExchange;
import org.endivehold.relay.peer.PeerListener;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.schedule.EngineWork;
import org.endivehold.relay.schedule.SharedScheduler;

/** Dispatches the messages of other daemons to the components that handle them. */
final class PeerMessageDispatcher implements PeerListener {
    private final EngineWork engines;
    private final UpstreamHealth health;
    private final Ticker ticker;
    private SharedScheduler scheduler;
    private CopyExchange copies;

    PeerMessageDispatcher(EngineWork engines, UpstreamHealth health, Ticker ticker) {
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
    public void told(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.JobWriting writing) {
            engines.board().writer(writing.id()).ifPresent(writer -> health.answered(writer, (double) ticker.millis()));
        }
        if (scheduler.told(daemon, message) || engines.told(message) || copies.told(daemon, message)) {
            return;
        }
        if (message instanceof PeerMessage.UpstreamFailed failed) {
            double now = (double) ticker.millis();
            health.eject(failed.upstream(), now + failed.outMillis(), now);
        } else if (message instanceof PeerMessage.UpstreamSeen seen) {
            seen(seen, (double) ticker.millis());
        }
    }

    private void seen(PeerMessage.UpstreamSeen seen, double now) {
        if (seen.failed()) {
            health.answeredWithFailure(seen.upstream(), now);
        } else {
            health.pace(seen.upstream(), seen.pace(), now);
        }
    }

    @Override
    public void lost(String daemon) {
        scheduler.lost(daemon);
        engines.board().removeDaemon(daemon);
    }

    @Override
    public void unreachable(String daemon) {
        scheduler.unreachable(daemon);
    }

    @Override
    public List<PeerMessage> introduction() {
        return engines.introduction();
    }

    @Override
    public Optional<PeerMessage.Copy> copy(String prefix, long newerThan) {
        return copies.copy(prefix, newerThan);
    }
}
