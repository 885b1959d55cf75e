package org.endivehold.bench.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.endivehold.config.Configuration;
import org.endivehold.config.PublishRequest;
import org.endivehold.config.Publisher;
import org.endivehold.daemon.Daemon;
import org.endivehold.daemon.platform.EtcdStore;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.daemon.settings.SettingsException;
import org.endivehold.daemon.settings.SettingsReader;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Revision;
import org.endivehold.misc.ZoneName;
import org.endivehold.platform.PlatformStore;

/**
 * Real daemons and stand-ins for all upstreams of a configuration, in one process on loopback. Not thread-safe; its
 * methods block, so they must not be called on an event loop.
 */
public final class Fleet implements AutoCloseable {
    private static final int KEEP_REVISIONS = 20;
    private static final String OPERATOR = "bench";

    private final FleetPlan plan;
    private final StandinSet standins;
    private final List<FleetDaemon> daemons = new CopyOnWriteArrayList<>();
    private final Path tokenFile;
    private Configuration configuration;
    private Revision revision = Revision.ZERO;
    private int started;

    /**
     * Starts the stand-ins and daemons, publishes the configuration and waits until every daemon is ready with it.
     *
     * @param plan plan of the fleet
     * @throws EndiveholdException if a part fails to start or a daemon is not ready in time
     */
    public Fleet(FleetPlan plan) throws EndiveholdException {
        this.plan = plan;
        standins = new StandinSet(plan.configuration(), plan.speed());
        tokenFile = tokenFile();
        standins.start();
        for (int i = 0; i < plan.daemons(); i++) {
            addDaemon();
        }
        publish(standins.configuration());
        awaitReady();
    }

    /**
     * Returns the stand-ins.
     *
     * @return stand-ins for the store and all upstreams
     */
    public StandinSet standins() {
        return standins;
    }

    /**
     * Returns the daemons.
     *
     * @return all daemons started so far, including those that were killed
     */
    public List<FleetDaemon> daemons() {
        return List.copyOf(daemons);
    }

    /**
     * Returns the configuration published last.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Starts one more daemon under a new host name, with the zones assigned in turn; does not wait until it is ready.
     *
     * @return the daemon
     * @throws EndiveholdException if it fails to start
     */
    public FleetDaemon addDaemon() throws EndiveholdException {
        List<ZoneName> zones = List.copyOf(plan.configuration().zones().keySet());
        ZoneName zone = zones.get(started % zones.size());
        started++;
        Daemon daemon = new Daemon(settings("host-" + started, zone));
        Waiting.on(daemon.start());
        FleetDaemon added = new FleetDaemon(daemon);
        daemons.add(added);
        return added;
    }

    /**
     * Kills a daemon without a shutdown, like a crash; its lease in the store stays until it expires.
     *
     * @param daemon the daemon
     * @throws EndiveholdException if its threads do not end within 30 s
     */
    public void kill(FleetDaemon daemon) throws EndiveholdException {
        daemon.kill();
    }

    /**
     * Publishes a configuration through the store connection of a live daemon; does not wait until it is in force.
     *
     * @param next the configuration
     * @throws EndiveholdException if the publish fails
     */
    public void publish(Configuration next) throws EndiveholdException {
        FleetDaemon live =
                daemons.stream().filter(FleetDaemon::isLive).findFirst().orElseThrow();
        PlatformStore store = live.daemon().kernel().find(EtcdStore.NAME, PlatformStore.class);
        PublishRequest request = new PublishRequest(
                next, revision, OPERATOR + "-" + revision.next(), OPERATOR, System.currentTimeMillis());
        revision = Waiting.on(new Publisher(store, KEEP_REVISIONS).publish(request))
                .head()
                .revision();
        configuration = next;
    }

    /**
     * Waits until every live daemon is ready with the last published revision or a later one.
     *
     * @throws EndiveholdException of type {@code INTERNAL} if one is not ready in time
     */
    public void awaitReady() throws EndiveholdException {
        if (!Waiting.until(
                () -> daemons.stream()
                        .filter(FleetDaemon::isLive)
                        .allMatch(d -> d.isReady() && d.revision().compareTo(revision) >= 0),
                plan.readyTimeoutMillis())) {
            throw new EndiveholdException(ErrorType.INTERNAL, "not all daemons are ready with revision " + revision);
        }
    }

    @Override
    public void close() throws EndiveholdException {
        for (FleetDaemon daemon : daemons) {
            if (daemon.isLive()) {
                daemon.kill();
            }
        }
        standins.stop();
        try {
            Files.deleteIfExists(tokenFile);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, "cannot delete " + tokenFile).causedBy(e);
        }
    }

    private Settings settings(String host, ZoneName zone) throws EndiveholdException {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("host", host).put("zone", zone.value()).put("seed", plan.seed() + started);
        root.putObject("callers")
                .put("address", "127.0.0.1")
                .put("port", 0)
                .put("reattachSecretFile", tokenFile.toString());
        root.putObject("operators").put("port", 0).put("tokenFile", tokenFile.toString());
        root.putObject("peers").put("port", 0);
        root.putObject("store").putArray("endpoints").add(standins.store().url());
        root.putObject("capacity").put("policy", plan.policy().capacity());
        root.putObject("placement").put("policy", plan.policy().placement());
        root.putObject("shutdown").put("lagMillis", 200);
        try {
            return SettingsReader.parse(root.toString());
        } catch (SettingsException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, e.getMessage()).causedBy(e);
        }
    }

    private static Path tokenFile() throws EndiveholdException {
        try {
            Path file = Files.createTempFile("endivehold-bench", ".token");
            Files.writeString(file, "bench-operator-token\n", StandardCharsets.UTF_8);
            return file;
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, "cannot write a token file").causedBy(e);
        }
    }
}
