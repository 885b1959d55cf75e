package org.endivehold.bench.fleet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.endivehold.config.Configuration;
import org.endivehold.config.PublishRequest;
import org.endivehold.config.PublishResult;
import org.endivehold.config.Publisher;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.platform.EtcdStore;
import org.endivehold.daemon.settings.SettingsReader;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Revision;
import org.endivehold.misc.ZoneName;
import org.endivehold.platform.HostEntry;
import org.endivehold.platform.PlatformStore;

/** Stand-ins and real daemons on loopback. Started and used from a thread that may wait. */
public final class Fleet implements AutoCloseable {
    /** The operators' token of every daemon. */
    public static final String OPERATOR_TOKEN = "local-operator-token";

    private static final long WAIT_SECONDS = 30;
    private static final long POLL_MILLIS = 10;
    private static final int KEEP_REVISIONS = 50;

    private final FleetPlan plan;
    private final Vertx vertx = Vertx.vertx();
    private final StandinSet standins;
    private final List<FleetDaemon> daemons = new ArrayList<>();
    private final List<ZoneName> zones;
    private Path folder;
    private Configuration published;
    private Revision revision = Revision.ZERO;
    private int started;

    /**
     * Plans a fleet; nothing runs yet.
     *
     * @param plan what it consists of
     */
    public Fleet(FleetPlan plan) {
        this.plan = plan;
        standins = new StandinSet(vertx, plan.configuration(), plan.speed());
        zones = List.copyOf(plan.configuration().zones().keySet());
    }

    /**
     * Starts the stand-ins and the daemons, publishes the configuration and waits until it is in force everywhere.
     *
     * @throws EndiveholdException if any part does not start in time
     */
    public void start() throws EndiveholdException {
        await(standins.start());
        try {
            folder = Files.createTempDirectory("endivehold");
            Files.writeString(folder.resolve("operator-token"), OPERATOR_TOKEN);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, "no temporary folder").causedBy(e);
        }
        for (int i = 0; i < plan.daemons(); i++) {
            add();
        }
        publish(standins.addressed(plan.configuration()));
        awaitRevision();
    }

    /**
     * Starts one more daemon and lists it.
     *
     * @return the daemon
     * @throws EndiveholdException if it does not start in time
     */
    public FleetDaemon add() throws EndiveholdException {
        FleetDaemon daemon = new FleetDaemon(SettingsReader.parse(settings().encode()));
        await(daemon.start());
        daemons.add(daemon);
        list();
        return daemon;
    }

    /**
     * Ends a daemon at once, as a crash would; the host list shows it until {@link #list()}.
     *
     * @param daemon a daemon of this fleet
     * @throws EndiveholdException if it does not end in time
     */
    public void kill(FleetDaemon daemon) throws EndiveholdException {
        daemons.remove(daemon);
        await(daemon.daemon().kill());
    }

    /**
     * Brings the host list up to date.
     *
     * @throws EndiveholdException if a daemon lacks a service
     */
    public void list() throws EndiveholdException {
        List<HostEntry> entries = new ArrayList<>();
        for (FleetDaemon daemon : daemons) {
            entries.add(daemon.entry());
        }
        standins.hosts().hosts(entries);
    }

    /**
     * Publishes a configuration through the first daemon's store adapter.
     *
     * @param configuration the configuration, with the stand-ins' addresses
     * @throws EndiveholdException if the publish fails
     */
    public void publish(Configuration configuration) throws EndiveholdException {
        FleetDaemon first = daemons.get(0);
        PlatformStore store = first.daemon().kernel().find(EtcdStore.NAME, PlatformStore.class);
        PublishRequest request = new PublishRequest(
                configuration, revision, "local-" + revision.next(), "local", System.currentTimeMillis());
        Promise<PublishResult> promise = Promise.promise();
        first.daemon().context().vertx().runOnContext(ignored -> Future.fromCompletionStage(
                        new Publisher(store, KEEP_REVISIONS).publish(request))
                .onComplete(promise));
        revision = await(promise.future()).head().revision();
        published = configuration;
    }

    /**
     * Waits until every daemon has the last published revision in force.
     *
     * @throws EndiveholdException of type {@code INTERNAL} if one does not get it in time
     */
    public void awaitRevision() throws EndiveholdException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!everywhere()) {
            if (System.nanoTime() > end) {
                throw new EndiveholdException(ErrorType.INTERNAL, "revision " + revision + " is not in force");
            }
            pause();
        }
    }

    /**
     * Returns the last published configuration.
     *
     * @return the configuration
     */
    public Configuration published() {
        return published;
    }

    /**
     * Returns the live daemons.
     *
     * @return the daemons, oldest first
     */
    public List<FleetDaemon> daemons() {
        return List.copyOf(daemons);
    }

    /**
     * Returns the stand-ins.
     *
     * @return the stand-ins
     */
    public StandinSet standins() {
        return standins;
    }

    /**
     * Returns the Vert.x instance of the stand-ins and of callers.
     *
     * @return the instance
     */
    public Vertx vertx() {
        return vertx;
    }

    /** Shuts all daemons down gracefully and ends the stand-ins. */
    @Override
    public void close() {
        Future<Void> chain = Future.succeededFuture();
        for (FleetDaemon daemon : daemons) {
            chain = chain.eventually(daemon.daemon()::shutdown);
        }
        try {
            await(chain.eventually(vertx::close));
        } catch (EndiveholdException e) {
            vertx.close();
        }
    }

    /**
     * Waits for a result.
     *
     * @param future the result to come
     * @param <T> its type
     * @return the result
     * @throws EndiveholdException its failure, or {@code INTERNAL} if it takes too long
     */
    public static <T> T await(Future<T> future) throws EndiveholdException {
        try {
            return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw EndiveholdException.unwrap(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw EndiveholdException.unwrap(e);
        }
    }

    private boolean everywhere() throws EndiveholdException {
        for (FleetDaemon daemon : daemons) {
            ActiveConfiguration active =
                    daemon.daemon().kernel().find(ActiveConfiguration.NAME, ActiveConfiguration.class);
            if (active.current().isEmpty() || !active.current().get().revision().equals(revision)) {
                return false;
            }
        }
        return true;
    }

    private static void pause() throws EndiveholdException {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw EndiveholdException.unwrap(e);
        }
    }

    private JsonObject settings() {
        started++;
        JsonObject free = new JsonObject().put("port", 0);
        JsonObject json = new JsonObject()
                .put("host", "entry-" + started)
                .put("zone", zones.get(started % zones.size()).value())
                .put("seed", plan.seed() + started)
                .put("callers", free.copy())
                .put(
                        "operators",
                        free.copy()
                                .put(
                                        "tokenFile",
                                        folder.resolve("operator-token").toString()))
                .put("peers", free.copy())
                .put(
                        "store",
                        new JsonObject()
                                .put("endpoints", List.of(standins.store().url())))
                .put("hosts", new JsonObject().put("url", standins.hosts().url()))
                .put("placement", new JsonObject().put("policy", plan.placement()))
                .put("grants", new JsonObject().put("policy", plan.capacity()))
                .put("shutdown", new JsonObject().put("lagMillis", 0));
        plan.settings().accept(json);
        return json;
    }
}
