package org.endivehold.bench.fleet;

import java.util.Optional;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.daemon.Daemon;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.http.CallerHttpServer;
import org.endivehold.daemon.kernel.ReadinessCheck;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;
import org.endivehold.misc.ZoneName;

/** A daemon of a fleet and the caller port that it was assigned. */
public final class FleetDaemon {
    private final Daemon daemon;
    private final int callerPort;
    private volatile boolean live = true;

    /**
     * Wraps a started daemon.
     *
     * @param daemon the daemon
     * @throws EndiveholdException of type {@code SERVICE_MISSING} if it has no caller front
     */
    FleetDaemon(Daemon daemon) throws EndiveholdException {
        this.daemon = daemon;
        callerPort = daemon.kernel()
                .find(CallerHttpServer.NAME, CallerHttpServer.class)
                .port();
    }

    /**
     * Returns the wrapped daemon.
     *
     * @return the daemon, running or not
     */
    public Daemon daemon() {
        return daemon;
    }

    /**
     * Returns the host.
     *
     * @return name of the host
     */
    public HostId host() {
        return daemon.context().settings().host();
    }

    /**
     * Returns the availability zone.
     *
     * @return name of the zone
     */
    public ZoneName zone() {
        return daemon.context().settings().zone();
    }

    /**
     * Returns the port that accepts requests of callers.
     *
     * @return TCP port
     */
    public int callerPort() {
        return callerPort;
    }

    /**
     * Returns whether the daemon is running.
     *
     * @return false after it was killed or shut down
     */
    public boolean isLive() {
        return live;
    }

    /**
     * Returns the configuration revision in force.
     *
     * @return the revision; {@link Revision#ZERO} if there is none yet
     */
    public Revision revision() {
        try {
            return daemon.kernel()
                    .find(ActiveConfiguration.NAME, ActiveConfiguration.class)
                    .current()
                    .map(ConfigurationSnapshot::revision)
                    .orElse(Revision.ZERO);
        } catch (EndiveholdException e) {
            return Revision.ZERO;
        }
    }

    /**
     * Returns whether the platform's load balancer would send requests to this daemon.
     *
     * @return true if it is live, has a configuration and passes all readiness checks
     */
    public boolean isReady() {
        return live
                && !revision().equals(Revision.ZERO)
                && daemon.kernel().findAll(ReadinessCheck.class).stream()
                        .map(ReadinessCheck::notReady)
                        .noneMatch(Optional::isPresent);
    }

    void kill() throws EndiveholdException {
        live = false;
        Waiting.on(daemon.kill());
    }

    void shutdown() throws EndiveholdException {
        live = false;
        Waiting.on(daemon.shutdown());
    }
}
