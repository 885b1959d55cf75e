package org.endivehold.bench.fleet;

import io.vertx.core.Future;
import org.endivehold.daemon.Daemon;
import org.endivehold.daemon.http.CallerFront;
import org.endivehold.daemon.peer.PeerTransport;
import org.endivehold.daemon.peer.TcpPeerTransport;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.EndiveholdException;
import org.endivehold.platform.HostEntry;

/** One real daemon of a fleet. */
public final class FleetDaemon {
    private static final String ADDRESS = "127.0.0.1";

    private final Daemon daemon;

    FleetDaemon(Settings settings) {
        daemon = new Daemon(settings);
    }

    Future<Void> start() {
        return daemon.start();
    }

    /**
     * Returns the daemon.
     *
     * @return the daemon
     */
    public Daemon daemon() {
        return daemon;
    }

    /**
     * Returns the port for callers.
     *
     * @return TCP port
     * @throws EndiveholdException of type {@code SERVICE_MISSING} if the daemon has no front
     */
    public int callerPort() throws EndiveholdException {
        return daemon.kernel().find(CallerFront.NAME, CallerFront.class).port();
    }

    HostEntry entry() throws EndiveholdException {
        Settings settings = daemon.context().settings();
        int port =
                daemon.kernel().find(PeerTransport.NAME, TcpPeerTransport.class).port();
        return new HostEntry(settings.host(), settings.zone(), ADDRESS, port, false);
    }
}
