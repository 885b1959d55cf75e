package org.endivehold.daemon.entry;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.peer.PeerListener;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.schedule.EngineWork;
import org.endivehold.relay.schedule.SharedScheduler;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.WatchedPrefix;

/** Hands what other daemons tell to whom it concerns. */
final class PeerExchange implements PeerListener {
    private final EngineWork engines;
    private final UpstreamHealth health;
    private final Ticker ticker;
    private final List<WatchedPrefix> copies;
    private SharedScheduler scheduler;

    PeerExchange(
            EngineWork engines,
            UpstreamHealth health,
            Ticker ticker,
            WatchedPrefix operators,
            WatchedPrefix upstreams) {
        this.engines = engines;
        this.health = health;
        this.ticker = ticker;
        copies = List.of(operators, upstreams);
    }

    /** Sets what decides about engines; it needs the connections, which need this. */
    void scheduler(SharedScheduler value) {
        scheduler = value;
    }

    @Override
    public void told(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.JobWriting writing) {
            engines.board().writer(writing.id()).ifPresent(writer -> health.answered(writer, (double) ticker.millis()));
        }
        if (scheduler.told(daemon, message) || engines.told(message)) {
            return;
        }
        if (message instanceof PeerMessage.UpstreamFailed failed) {
            double now = (double) ticker.millis();
            health.eject(failed.upstream(), now + failed.outMillis(), now);
        } else if (message instanceof PeerMessage.UpstreamSeen seen) {
            seen(seen, (double) ticker.millis());
        } else if (message instanceof PeerMessage.Copy copy) {
            copy(copy.prefix())
                    .ifPresent(mine -> mine.offer(new SharedStore.Range(copy.items(), copy.revision()), daemon));
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
        return copy(prefix)
                .filter(mine -> mine.revision() > newerThan)
                .map(mine -> new PeerMessage.Copy(prefix, mine.revision(), mine.items()));
    }

    private Optional<WatchedPrefix> copy(String prefix) {
        return copies.stream().filter(c -> c.prefix().equals(prefix)).findFirst();
    }
}
