package org.endivehold.daemon.entry;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.peer.PeerListener;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.schedule.EngineWork;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.WatchedPrefix;

/** Hands what other daemons tell to whom it concerns. */
final class PeerExchange implements PeerListener {
    private final EngineWork engines;
    private final UpstreamHealth health;
    private final Ticker ticker;
    private final List<WatchedPrefix> copies;

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

    @Override
    public void told(String daemon, PeerMessage message) {
        if (engines.told(message)) {
            return;
        }
        if (message instanceof PeerMessage.UpstreamFailed failed) {
            double now = (double) ticker.millis();
            health.eject(failed.upstream(), now + failed.outMillis(), now);
        } else if (message instanceof PeerMessage.Copy copy) {
            copy(copy.prefix())
                    .ifPresent(mine -> mine.offer(new SharedStore.Range(copy.items(), copy.revision()), daemon));
        }
    }

    @Override
    public void lost(String daemon) {
        engines.board().removeDaemon(daemon);
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
