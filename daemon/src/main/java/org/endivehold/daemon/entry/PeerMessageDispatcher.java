package org.endivehold.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.path.Neighbours;
import org.endivehold.relay.peer.ConfigurationExchange;
import org.endivehold.relay.peer.CopyExchange;
import org.endivehold.relay.peer.PeerListener;
import org.endivehold.relay.peer.PeerMesh;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerStream;
import org.endivehold.relay.peer.RateLimitExchange;
import org.endivehold.relay.peer.SuspectExchange;
import org.endivehold.relay.schedule.JobReplicator;
import org.endivehold.relay.schedule.SharedScheduler;
import org.endivehold.relay.state.FleetState;
import org.endivehold.relay.state.StorePosition;

/** Dispatches the messages of other daemons to the components that handle them. */
final class PeerMessageDispatcher implements PeerListener {
    private final JobReplicator engines;
    private final UpstreamHealth health;
    private final Ticker ticker;
    private FleetState fleet;
    private SharedScheduler scheduler;
    private CopyExchange copies;
    private ConfigurationExchange configurations;
    private SuspectExchange suspects;
    private RateLimitExchange rateLimits;
    private Neighbours neighbours;
    private PeerMesh mesh;
    private BiConsumer<PeerMessage.ForwardOffer, PeerStream> forwardReceiver;

    PeerMessageDispatcher(JobReplicator engines, UpstreamHealth health, Ticker ticker) {
        this.engines = engines;
        this.health = health;
        this.ticker = ticker;
    }

    /**
     * Sets the state of the fleet, the scheduler, the exchanges of store copies, configurations, suspects, rate limits
     * and lost paths, and the connections to other daemons. They cannot be constructor parameters, since the
     * connections need this dispatcher, and the others need the connections.
     */
    void setReceivers(
            FleetState fleetValue,
            SharedScheduler schedulerValue,
            CopyExchange copiesValue,
            ConfigurationExchange configurationsValue,
            SuspectExchange suspectsValue,
            RateLimitExchange rateLimitsValue,
            Neighbours neighboursValue,
            PeerMesh meshValue) {
        fleet = fleetValue;
        scheduler = schedulerValue;
        copies = copiesValue;
        configurations = configurationsValue;
        suspects = suspectsValue;
        rateLimits = rateLimitsValue;
        neighbours = neighboursValue;
        mesh = meshValue;
    }

    /** Sets what takes requests that other daemons cannot deliver. */
    void onForwardOffer(BiConsumer<PeerMessage.ForwardOffer, PeerStream> receiver) {
        forwardReceiver = receiver;
    }

    @Override
    public void onForwardOffer(PeerMessage.ForwardOffer offer, PeerStream stream) {
        forwardReceiver.accept(offer, stream);
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
                || copies.handle(daemon, message)
                || configurations.handle(daemon, message)
                || suspects.handle(daemon, message)
                || rateLimits.handle(daemon, message)
                || neighbours.handle(message)) {
            return;
        }
        if (message instanceof PeerMessage.UpstreamFailed failed) {
            double now = (double) ticker.millis();
            health.ejectReported(failed.upstream(), now + failed.ejectionMillis(), now);
        } else if (message instanceof PeerMessage.UpstreamObserved observed) {
            upstreamObserved(observed, (double) ticker.millis());
        } else if (message instanceof PeerMessage.UpstreamLeaving leaving) {
            upstreamLeaving(leaving);
        }
    }

    /** Passes news on: in a large fleet, the sender is connected to the coordinators only. */
    private void upstreamLeaving(PeerMessage.UpstreamLeaving leaving) {
        if (fleet.markLeaving(leaving.upstream(), leaving.startedAtMillis())) {
            mesh.broadcastInbound(leaving);
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
        configurations.disconnected(daemon);
    }

    @Override
    public void onUnreachable(String daemon) {
        scheduler.daemonUnreachable(daemon);
    }

    @Override
    public List<PeerMessage> initialMessages() {
        List<PeerMessage> messages = new ArrayList<>(welcomeMessages());
        messages.addAll(engines.initialMessages());
        return messages;
    }

    @Override
    public List<PeerMessage> welcomeMessages() {
        List<PeerMessage> messages = new ArrayList<>(suspects.knowledge());
        messages.addAll(rateLimits.knowledge());
        messages.addAll(neighbours.knowledge());
        configurations.announcement().ifPresent(messages::add);
        return messages;
    }

    @Override
    public PeerMessage.Ping pingAnswer() {
        return copies.pingAnswer();
    }

    @Override
    public Optional<PeerMessage.Copy> copy(String prefix, StorePosition newerThan) {
        return copies.copy(prefix, newerThan);
    }
}
