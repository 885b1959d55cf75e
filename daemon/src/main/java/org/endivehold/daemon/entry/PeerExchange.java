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

/** Hands what other daemons tell to whom it concerns. */
final class PeerExchange implements PeerListener {
    private final EngineWork engines;
    private final UpstreamHealth health;
    private final Ticker ticker;
    private SharedScheduler scheduler;
    private CopyExchange copies;

    PeerExchange(EngineWork engines, UpstreamHealth health, Ticker ticker) {
        this.engines = engines;
        this.health = health;
        this.ticker = ticker;
    }

    /** Sets what decides about engines and what passes on copies; both need the connections, which need this. */
    void connect(SharedScheduler schedulerValue, CopyExchange copiesValue) {
        scheduler = schedulerValue;
        copies = copiesValue;
    }

    @Override
    public void onMessage(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.JobDecoding writing) {
            engines.board().writer(writing.id()).ifPresent(writer -> health.answered(writer, (double) ticker.millis()));
        }
        if (scheduler.told(daemon, message) || engines.told(message) || copies.handle(daemon, message)) {
            return;
        }
        if (message instanceof PeerMessage.UpstreamFailed failed) {
            double now = (double) ticker.millis();
            health.eject(failed.upstream(), now + failed.ejectionMillis(), now);
        } else if (message instanceof PeerMessage.UpstreamObserved seen) {
            seen(seen, (double) ticker.millis());
        }
    }

    private void seen(PeerMessage.UpstreamObserved seen, double now) {
        if (seen.failed()) {
            health.answeredWithFailure(seen.upstream(), now);
        } else {
            health.pace(seen.upstream(), seen.slowdown(), now);
        }
    }

    @Override
    public void onDisconnected(String daemon) {
        scheduler.lost(daemon);
        engines.board().removeDaemon(daemon);
    }

    @Override
    public void onUnreachable(String daemon) {
        scheduler.unreachable(daemon);
    }

    @Override
    public List<PeerMessage> initialMessages() {
        return engines.introduction();
    }

    @Override
    public Optional<PeerMessage.Copy> copy(String prefix, long newerThan) {
        return copies.copy(prefix, newerThan);
    }
}
