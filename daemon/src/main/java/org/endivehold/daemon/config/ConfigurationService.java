package org.endivehold.daemon.config;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.endivehold.config.ActivationState;
import org.endivehold.config.ActivationTimes;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationArchive;
import org.endivehold.config.ConfigurationKeys;
import org.endivehold.config.ConfigurationListener;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.FetchTarget;
import org.endivehold.config.RevisionRecord;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.ReadinessCheck;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.kernel.StatusContributor;
import org.endivehold.daemon.platform.EtcdStore;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.HostId;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Revision;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.WatchListener;
import org.jboss.logging.Logger;

/** Keeps the newest configuration in force, from the key-value service or from neighbours. */
public final class ConfigurationService implements Service, ActiveConfiguration, StatusContributor, ReadinessCheck {
    private static final Logger log = Logger.getLogger(ConfigurationService.class);
    private static final long TICK_MILLIS = 200;
    private static final int KEPT_SNAPSHOTS = 8;

    private final DaemonContext context;
    private final ActivationState state;
    private final List<ConfigurationListener> listeners = new ArrayList<>();
    private final Map<Revision, ConfigurationSnapshot> recent = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Revision, ConfigurationSnapshot> eldest) {
            return size() > KEPT_SNAPSHOTS;
        }
    };
    private ConfigurationArchive archive;
    private Optional<ConfigurationSource> neighbours = Optional.empty();
    private PlatformStore.Watch watch;
    private String source = "none";
    private long timer = -1;

    /**
     * Creates the service.
     *
     * @param context what the daemon's services share
     */
    public ConfigurationService(DaemonContext context) {
        this.context = context;
        this.state =
                new ActivationState(ActivationTimes.STANDARD, context.ticker().millis());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> needs() {
        return Set.of(EtcdStore.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        PlatformStore store;
        try {
            store = kernel.find(EtcdStore.NAME, PlatformStore.class);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        archive = new ConfigurationArchive(store);
        context.meters().gauge("endivehold.config.revision", this, ConfigurationService::revision);
        context.meters().gauge("endivehold.config.store.silent.millis", this, s -> (double) s.storeSilentMillis());
        watch = store.watch(ConfigurationKeys.HEAD, new HeadListener());
        timer = context.vertx().setPeriodic(TICK_MILLIS, id -> tick());
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        context.vertx().cancelTimer(timer);
        watch.close();
        return Future.succeededFuture();
    }

    @Override
    public Optional<ConfigurationSnapshot> current() {
        return state.current();
    }

    @Override
    public void listen(ConfigurationListener listener) {
        listeners.add(listener);
        current().ifPresent(listener::activated);
    }

    /**
     * Returns a revision that was in force lately.
     *
     * @param revision the revision
     * @return the snapshot, or empty if it is not kept
     */
    public Optional<ConfigurationSnapshot> recent(Revision revision) {
        return Optional.ofNullable(recent.get(revision));
    }

    /**
     * Tells whether this daemon can learn of no change, so that it should get no new calls.
     *
     * @return true if neither the store nor any known neighbour was heard for some seconds
     */
    public boolean isolated() {
        return state.isIsolated(context.ticker().millis());
    }

    /**
     * Sets how to fetch from neighbours.
     *
     * @param fetcher fetches a configuration from a daemon
     */
    public void fetchFromNeighbours(ConfigurationSource fetcher) {
        neighbours = Optional.of(fetcher);
    }

    /**
     * Takes note that a neighbour exists.
     *
     * @param neighbour the neighbour
     */
    public void neighbourKnown(HostId neighbour) {
        state.addNeighbour(neighbour);
    }

    /**
     * Takes note of a message from a neighbour.
     *
     * @param neighbour the neighbour
     * @param revision its revision
     * @param digest its digest
     */
    public void neighbourSeen(HostId neighbour, Revision revision, String digest) {
        state.neighbourSeen(neighbour, revision, digest, context.ticker().millis());
        proceed();
    }

    /**
     * Forgets a neighbour that left.
     *
     * @param neighbour the neighbour
     */
    public void neighbourGone(HostId neighbour) {
        state.removeNeighbour(neighbour);
    }

    /**
     * Forgets neighbours that are not known any more.
     *
     * @param known the neighbours that are known
     */
    public void retainNeighbours(Set<HostId> known) {
        state.retainNeighbours(known, context.ticker().millis());
    }

    /**
     * Returns how long the store has been silent.
     *
     * @return milliseconds since its last answer
     */
    public long storeSilentMillis() {
        return state.storeSilentMillis(context.ticker().millis());
    }

    @Override
    public Optional<String> notReady() {
        return isolated()
                ? Optional.of("cut off from the key-value service and from all neighbours")
                : Optional.empty();
    }

    @Override
    public String statusName() {
        return NAME;
    }

    @Override
    public ConfigurationStatus status() {
        long now = context.ticker().millis();
        return new ConfigurationStatus(
                revision(),
                current().map(ConfigurationSnapshot::digest).orElse(""),
                source,
                state.isIsolated(now),
                state.storeSilentMillis(now),
                state.isStoreBehind(),
                current().map(ConfigurationService::zonesOut).orElse(List.of()),
                current().map(ConfigurationService::upstreamsLeaving).orElse(List.of()));
    }

    private long revision() {
        return current().map(snapshot -> snapshot.revision().value()).orElse(0L);
    }

    private static List<String> zonesOut(ConfigurationSnapshot snapshot) {
        return snapshot.configuration().zones().values().stream()
                .filter(zone -> zone.state() == AvailabilityZone.State.OUT)
                .map(zone -> zone.name().value())
                .toList();
    }

    private static List<String> upstreamsLeaving(ConfigurationSnapshot snapshot) {
        return snapshot.configuration().upstreams().values().stream()
                .filter(upstream -> upstream.state() == Upstream.State.LEAVING)
                .map(upstream -> upstream.name().value())
                .toList();
    }

    private final class HeadListener implements WatchListener {
        @Override
        public void changed(StoreEntry entry) {
            if (!entry.key().equals(ConfigurationKeys.HEAD)) {
                return;
            }
            try {
                headSeen(Optional.of(RevisionRecord.fromBytes(entry.value())));
            } catch (EndiveholdException e) {
                context.errors().report(NAME, e);
            }
        }

        @Override
        public void resync() {
            poll();
        }
    }

    private void tick() {
        if (state.startPoll(context.ticker().millis())) {
            poll();
        }
        proceed();
    }

    private void poll() {
        archive.head().whenComplete((stored, failure) -> {
            if (failure == null) {
                headSeen(stored.map(ConfigurationArchive.StoredHead::head));
            }
        });
    }

    private void headSeen(Optional<RevisionRecord> head) {
        state.headSeen(head, context.ticker().millis());
        proceed();
    }

    private void proceed() {
        state.nextFetch(context.ticker().millis()).ifPresent(this::fetch);
    }

    private void fetch(FetchTarget order) {
        Future<ConfigurationSnapshot> fetched;
        if (order.head().isPresent()) {
            RevisionRecord head = order.head().get();
            fetched = Future.fromCompletionStage(archive.load(head))
                    .map(loaded -> new ConfigurationSnapshot(head.revision(), head.digest(), loaded));
        } else if (neighbours.isPresent()) {
            fetched = neighbours.get().fetch(order.neighbour().orElseThrow(), current());
        } else {
            state.fetchFailed(order, context.ticker().millis());
            return;
        }
        fetched.onSuccess(snapshot -> loaded(order, snapshot)).onFailure(failure -> {
            state.fetchFailed(order, context.ticker().millis());
            context.errors().report(NAME, failure);
        });
    }

    private void loaded(FetchTarget order, ConfigurationSnapshot fetched) {
        Configuration configuration = fetched.configuration();
        long now = context.ticker().millis();
        state.fetchCompleted(order, fetched.revision(), fetched.digest(), configuration, now)
                .ifPresent(snapshot -> activate(order, snapshot));
        proceed();
    }

    private void activate(FetchTarget order, ConfigurationSnapshot snapshot) {
        source = order.neighbour().map(HostId::value).orElse(EtcdStore.NAME);
        recent.put(snapshot.revision(), snapshot);
        LogEvent.of("configuration-activated")
                .with("revision", snapshot.revision())
                .with("digest", snapshot.digest())
                .with("source", source)
                .info(log);
        for (ConfigurationListener listener : listeners) {
            try {
                listener.activated(snapshot);
            } catch (RuntimeException e) {
                context.errors().report(NAME, e);
            }
        }
    }
}
