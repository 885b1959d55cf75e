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

/** Keeps the newest known configuration in force; loads it from the key-value service or from other daemons. */
public final class ConfigurationService implements Service, ActiveConfiguration, StatusContributor, ReadinessCheck {
    private static final Logger log = Logger.getLogger(ConfigurationService.class);
    private static final long CHECK_INTERVAL_MILLIS = 200;
    private static final int MAX_RECENT_SNAPSHOTS = 8;

    private final DaemonContext context;
    private final ActivationState state;
    private final List<ConfigurationListener> listeners = new ArrayList<>();
    private final Map<Revision, ConfigurationSnapshot> recent = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Revision, ConfigurationSnapshot> eldest) {
            return size() > MAX_RECENT_SNAPSHOTS;
        }
    };
    private ConfigurationArchive archive;
    private Optional<PeerConfigurationFetcher> peerFetcher = Optional.empty();
    private PlatformStore.Watch watch;
    private String source = "none";
    private long timer = -1;

    /**
     * Creates the service.
     *
     * @param context shared objects of the daemon
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
    public Set<String> dependencies() {
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
        timer = context.vertx().setPeriodic(CHECK_INTERVAL_MILLIS, id -> tick());
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
     * Returns a revision that was in force recently.
     *
     * @param revision the revision
     * @return the snapshot, or empty if this daemon does not keep it
     */
    public Optional<ConfigurationSnapshot> recent(Revision revision) {
        return Optional.ofNullable(recent.get(revision));
    }

    /**
     * Returns whether this daemon is isolated: it cannot learn of configuration changes and should get no new requests.
     *
     * @return true if there was no contact to the key-value service or any known peer for
     *     {@link ActivationTimes#isolationMillis()}
     */
    public boolean isolated() {
        return state.isIsolated(context.ticker().millis());
    }

    /**
     * Sets the fetcher for configurations of peers. Until it is set, fetches from peers fail.
     *
     * @param fetcher fetches a configuration from another daemon
     */
    public void setPeerFetcher(PeerConfigurationFetcher fetcher) {
        peerFetcher = Optional.of(fetcher);
    }

    /**
     * Records that a peer is registered. This is no evidence that it can be reached.
     *
     * @param peer the host of the peer
     */
    public void peerKnown(HostId peer) {
        state.addNeighbour(peer);
    }

    /**
     * Records a message from a peer, and fetches its configuration if that is newer.
     *
     * @param peer the host of the peer
     * @param revision the revision in force at the peer
     * @param digest the digest of that revision
     */
    public void peerSeen(HostId peer, Revision revision, String digest) {
        state.neighbourSeen(peer, revision, digest, context.ticker().millis());
        fetchIfBehind();
    }

    /**
     * Removes a peer that has left or is leaving.
     *
     * @param peer the host of the peer
     */
    public void peerGone(HostId peer) {
        state.removeNeighbour(peer);
    }

    /**
     * Removes all peers that are no longer registered, but only while messages from some peer arrive. A daemon in a
     * network partition sees all others as gone, and without any peer it would no longer count as isolated.
     *
     * @param known the hosts of the registered daemons
     */
    public void retainPeers(Set<HostId> known) {
        state.retainNeighbours(known, context.ticker().millis());
    }

    /**
     * Returns the time since the key-value service last answered.
     *
     * @return milliseconds
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
        fetchIfBehind();
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
        fetchIfBehind();
    }

    private void fetchIfBehind() {
        state.nextFetch(context.ticker().millis()).ifPresent(this::fetch);
    }

    private void fetch(FetchTarget target) {
        Future<ConfigurationSnapshot> fetched;
        if (target.head().isPresent()) {
            RevisionRecord head = target.head().get();
            fetched = Future.fromCompletionStage(archive.load(head))
                    .map(loaded -> new ConfigurationSnapshot(head.revision(), head.digest(), loaded));
        } else if (peerFetcher.isPresent()) {
            fetched = peerFetcher.get().fetch(target.neighbour().orElseThrow(), current());
        } else {
            state.fetchFailed(target, context.ticker().millis());
            return;
        }
        fetched.onSuccess(snapshot -> onLoaded(target, snapshot)).onFailure(failure -> {
            state.fetchFailed(target, context.ticker().millis());
            context.errors().report(NAME, failure);
        });
    }

    private void onLoaded(FetchTarget target, ConfigurationSnapshot fetched) {
        Configuration configuration = fetched.configuration();
        long now = context.ticker().millis();
        state.fetchCompleted(target, fetched.revision(), fetched.digest(), configuration, now)
                .ifPresent(snapshot -> activate(target, snapshot));
        fetchIfBehind();
    }

    private void activate(FetchTarget target, ConfigurationSnapshot snapshot) {
        source = target.neighbour().map(HostId::value).orElse(EtcdStore.NAME);
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
