package org.endivehold.relay.peer;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.endivehold.relay.state.ConfigurationState;

/**
 * Passes the configuration in force on between daemons, by the operators' version alone.
 *
 * <p>Each daemon announces the version that it puts in force, and the one that it has to each daemon that connects,
 * which takes a few bytes. A daemon that has an older one gives its own watch of the store a moment, which usually
 * reports the same change, and then requests the document. So no daemon depends on its own connection to the store, and
 * what the store lost in a restore stays known as long as one daemon has it. Requests go to one daemon at a time, to
 * the next one if there is no answer.
 */
public final class ConfigurationExchange {
    /** Time that this daemon's own watch gets to report a version that another daemon announced, in milliseconds. */
    private static final int OWN_WATCH_MILLIS = 150;
    /** Time after which a document that was requested is requested from another daemon, in milliseconds. */
    private static final int NEXT_REQUEST_MILLIS = 400;

    private final Vertx vertx;
    private final ConfigurationState configuration;
    private final PeerMesh mesh;
    /** Versions that connected daemons announced and that are newer than the one in force here. */
    private final Map<String, Long> announced = new HashMap<>();

    private boolean scheduled;

    /**
     * Creates the exchange; it announces each new version of {@code configuration} to the daemons that are connected.
     */
    public ConfigurationExchange(Vertx vertx, ConfigurationState configuration, PeerMesh mesh) {
        this.vertx = vertx;
        this.configuration = configuration;
        this.mesh = mesh;
        configuration.onNewVersion(this::announce);
    }

    /** Handles a message of another daemon; returns false if it does not concern the configuration. */
    public boolean handle(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.ConfigurationAnnounced theirs) {
            announced.put(daemon, theirs.version());
            schedule(OWN_WATCH_MILLIS);
        } else if (message instanceof PeerMessage.ConfigurationRequest request) {
            send(daemon, request);
        } else if (message instanceof PeerMessage.ConfigurationDocument theirs) {
            configuration.offer(theirs.document(), daemon);
        } else {
            return false;
        }
        return true;
    }

    /** Forgets what a daemon announced whose connection has ended. */
    public void disconnected(String daemon) {
        announced.remove(daemon);
    }

    /**
     * Returns the announcement of the version in force, for a daemon that has just connected; empty if there is none.
     */
    public Optional<PeerMessage> announcement() {
        return configuration.version().map(PeerMessage.ConfigurationAnnounced::new);
    }

    private void announce() {
        announcement().ifPresent(message -> {
            mesh.broadcast(message);
            mesh.broadcastInbound(message);
        });
    }

    private void send(String daemon, PeerMessage.ConfigurationRequest request) {
        if (isNewerThan(request.version())) {
            configuration
                    .document()
                    .map(PeerMessage.ConfigurationDocument::new)
                    .ifPresent(document -> mesh.send(daemon, document));
        }
    }

    private boolean isNewerThan(long version) {
        return configuration.version().filter(mine -> mine > version).isPresent();
    }

    private void schedule(int millis) {
        if (!scheduled) {
            scheduled = true;
            vertx.setTimer(millis, timer -> requestNewest());
        }
    }

    /** Requests the newest announced version from one daemon that has it, unless this daemon has it by now. */
    private void requestNewest() {
        scheduled = false;
        long mine = configuration.version().orElse(PeerMessage.ConfigurationRequest.NONE);
        announced.values().removeIf(version -> version <= mine);
        Optional<String> newest =
                announced.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
        if (newest.isPresent()) {
            // It is asked once; if it does not answer, the next one is asked.
            announced.remove(newest.get());
            mesh.send(newest.get(), new PeerMessage.ConfigurationRequest(mine));
            schedule(NEXT_REQUEST_MILLIS);
        }
    }
}
