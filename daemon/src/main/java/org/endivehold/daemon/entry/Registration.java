package org.endivehold.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.RelaySettings;
import org.endivehold.relay.json.BoundedJson;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMesh;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StoreLease;
import org.jboss.logging.Logger;

/** Registers this daemon in the store under a lease, and discovers the other registered daemons. */
final class Registration {
    /**
     * Minimum time to live of the lease, in milliseconds: the entry of a daemon that died stays for at most this time.
     */
    private static final int MIN_LEASE_MILLIS = 12_000;
    /**
     * Interval between renewals of the lease, in milliseconds. The lease outlasts the interval, an outage of the store
     * of 4 s and the next try after it, and also a renewal that times out and the next try.
     */
    private static final int RENEW_INTERVAL_MILLIS = 6_500;
    /** Delay after a failed renewal, in milliseconds. */
    private static final int RENEW_RETRY_MILLIS = 1_000;
    /** Delay after a failed attempt to register, in milliseconds. */
    private static final int RETRY_DELAY_MILLIS = 1_500;
    /**
     * Delay after further failed attempts to register, in milliseconds; other daemons learn of this one even if it is
     * not registered.
     */
    private static final int MAX_RETRY_DELAY_MILLIS = 3_000;
    /**
     * Delay of a second discovery after the start, in milliseconds. All daemons start at about the same time, so the
     * first discovery may miss those that have not registered yet.
     */
    private static final int SECOND_DISCOVERY_DELAY_MILLIS = 3_000;

    /** Longest time that the end of the lease may take when the daemon stops, in milliseconds. */
    private static final int END_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_PORT = 65_535;

    private static final String HOST = "host";
    private static final String PORT = "port";
    private static final String ZONE = "zone";
    private static final String CAPACITY = "capacity";

    private static final Logger log = Logger.getLogger(Registration.class);

    private final Vertx vertx;
    private final SharedStore store;
    private final String prefix;
    private final DaemonEntry self;
    private final RelaySettings settings;
    private final PeerMesh mesh;
    private Optional<StoreLease> lease = Optional.empty();
    private boolean ended;
    private int retryDelayMillis = RETRY_DELAY_MILLIS;

    Registration(
            Vertx vertx, SharedStore store, String prefix, DaemonEntry self, RelaySettings settings, PeerMesh mesh) {
        this.vertx = vertx;
        this.store = store;
        this.prefix = prefix;
        this.self = self;
        this.settings = settings;
        this.mesh = mesh;
    }

    void start() {
        register();
        vertx.setTimer(SECOND_DISCOVERY_DELAY_MILLIS, timer -> discoverDaemons());
    }

    /** Ends the lease; completes when the store has answered, or will not answer in time: the lease expires anyway. */
    Future<Void> end() {
        ended = true;
        return lease.map(this::revoke).orElse(Future.succeededFuture());
    }

    private Future<Void> revoke(StoreLease held) {
        return store.revokeLease(held)
                .timeout(END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onFailure(failure -> LogEvent.of("lease-not-ended")
                        .with("lease", held.id())
                        .with("reason", failure.getMessage())
                        .warn(log))
                .otherwiseEmpty();
    }

    private void register() {
        if (ended) {
            return;
        }
        int ttl = Math.max(MIN_LEASE_MILLIS, settings.leastLeaseMillis());
        Buffer value = new JsonObject()
                .put(HOST, self.host())
                .put(PORT, self.port())
                .put(ZONE, self.zone())
                .put(CAPACITY, self.capacity())
                .toBuffer();
        store.grantLease(ttl)
                .compose(granted ->
                        store.put(prefix + self.name(), value, granted).map(granted))
                .onSuccess(granted -> {
                    lease = Optional.of(granted);
                    retryDelayMillis = RETRY_DELAY_MILLIS;
                    LogEvent.of("daemon-registered")
                            .with("lease", granted.id())
                            .with("era", granted.era())
                            .info(log);
                    discoverDaemons();
                    renewLater(granted, RENEW_INTERVAL_MILLIS);
                })
                .onFailure(failure -> {
                    LogEvent.of("daemon-not-registered")
                            .with("reason", failure.getMessage())
                            .warn(log);
                    vertx.setTimer(retryDelayMillis, timer -> register());
                    retryDelayMillis = MAX_RETRY_DELAY_MILLIS;
                });
    }

    private void renewLater(StoreLease held, int delayMillis) {
        vertx.setTimer(delayMillis, timer -> {
            if (ended) {
                return;
            }
            store.renewLease(held)
                    .onSuccess(kept -> renewLater(held, RENEW_INTERVAL_MILLIS))
                    .onFailure(failure -> {
                        LogEvent.of("lease-not-renewed")
                                .with("lease", held.id())
                                .with("reason", failure.getMessage())
                                .warn(log);
                        if (failure instanceof EndiveholdException e && e.type() == ErrorType.LEASE_LOST) {
                            register();
                        } else {
                            renewLater(held, RENEW_RETRY_MILLIS);
                        }
                    });
        });
    }

    /** Reads the list of daemons; it may be stale, since the daemons pass on what it lacks. */
    private void discoverDaemons() {
        store.staleRange(prefix)
                .onSuccess(range -> mesh.addDaemons(range.items().stream()
                        .map(this::daemon)
                        .flatMap(Optional::stream)
                        .toList()))
                .onFailure(failure -> LogEvent.of("daemons-not-listed")
                        .with("reason", failure.getMessage())
                        .warn(log));
    }

    private Optional<DaemonEntry> daemon(SharedStore.Item item) {
        try {
            JsonObject entry = BoundedJson.object(item.value());
            DaemonEntry daemon = new DaemonEntry(
                    item.key().substring(prefix.length()),
                    entry.getString(HOST),
                    entry.getInteger(PORT),
                    entry.getString(ZONE),
                    entry.getDouble(CAPACITY));
            if (daemon.port() <= 0 || daemon.port() > MAX_PORT || !(daemon.capacity() > 0)) {
                throw new IllegalArgumentException("port or capacity is out of range");
            }
            return Optional.of(daemon);
        } catch (EndiveholdException | ClassCastException | NullPointerException | IllegalArgumentException e) {
            LogEvent.of("daemon-unreadable")
                    .with("key", item.key())
                    .with("reason", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }
}
