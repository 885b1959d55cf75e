package org.endivehold.daemon.platform;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;
import org.endivehold.platform.WatchListener;

/**
 * {@link PlatformStore} over the JSON gateway of etcd v3. Callers give and receive keys without the installation's
 * prefix, which is set in the settings.
 */
public final class EtcdStore implements Service, PlatformStore {
    /** Name of the service. */
    public static final String NAME = "store";

    private static final String RANGE = "/v3/kv/range";
    private static final String TXN = "/v3/kv/txn";

    private final DaemonContext context;
    private final EtcdJson json;
    private final EtcdClient client;
    private final List<EtcdWatch> watches = new ArrayList<>();

    /**
     * Creates the adapter.
     *
     * @param context the daemon's context, with the settings of the store
     */
    public EtcdStore(DaemonContext context) {
        this.context = context;
        this.json = new EtcdJson(context.settings().store().prefix());
        this.client = new EtcdClient(context.vertx(), context.settings().store());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        List.copyOf(watches).forEach(EtcdWatch::close);
        return client.close();
    }

    @Override
    public CompletionStage<Optional<StoreEntry>> get(String key) {
        return countOutcome("get", client.read(RANGE, json.range(key)).map(json::firstEntry));
    }

    @Override
    public CompletionStage<List<StoreEntry>> list(String prefix) {
        return countOutcome("list", client.read(RANGE, json.rangePrefix(prefix)).map(json::entries));
    }

    @Override
    public CompletionStage<SwapResult> compareAndSwap(
            String key, long expected, byte[] value, Optional<LeaseId> lease) {
        if (value.length > MAX_VALUE_BYTES) {
            return CompletableFuture.failedFuture(new EndiveholdException(
                    ErrorType.STORE_REFUSED, "the value of " + key + " exceeds " + MAX_VALUE_BYTES + " bytes"));
        }
        return countOutcome(
                "swap", client.write(TXN, json.put(key, expected, value, lease)).map(answer -> {
                    if (answer.getBoolean("succeeded", false)) {
                        StoreEntry written = new StoreEntry(key, value, EtcdJson.headerRevision(answer));
                        return new SwapResult(true, Optional.of(written));
                    }
                    return new SwapResult(false, json.currentEntry(answer));
                }));
    }

    @Override
    public CompletionStage<Boolean> delete(String key, long expected) {
        return countOutcome(
                "delete",
                client.write(TXN, json.delete(key, expected))
                        .map(answer -> expected > 0 && answer.getBoolean("succeeded", false)));
    }

    @Override
    public CompletionStage<LeaseId> grantLease(Duration ttl) {
        long seconds = Math.max(1, (ttl.toMillis() + 999) / 1_000);
        JsonObject body = new JsonObject().put("TTL", Long.toString(seconds));
        return countOutcome(
                "lease-grant",
                client.write("/v3/lease/grant", body).map(answer -> new LeaseId(EtcdJson.number(answer, "ID"))));
    }

    @Override
    public CompletionStage<Duration> renewLease(LeaseId lease) {
        return countOutcome(
                "lease-renew",
                client.write("/v3/lease/keepalive", EtcdJson.lease(lease)).compose(answer -> {
                    JsonObject result = answer.getJsonObject("result", answer);
                    long seconds = EtcdJson.number(result, "TTL");
                    return seconds > 0
                            ? Future.succeededFuture(Duration.ofSeconds(seconds))
                            : Future.failedFuture(new EndiveholdException(ErrorType.LEASE_LOST, lease.value()));
                }));
    }

    @Override
    public CompletionStage<Void> revokeLease(LeaseId lease) {
        return countOutcome(
                "lease-revoke",
                client.write("/v3/lease/revoke", EtcdJson.lease(lease)).mapEmpty());
    }

    @Override
    public Watch watch(String prefix, WatchListener listener) {
        EtcdWatch watch = new EtcdWatch(context, client, json, prefix, listener, watches::remove);
        watches.add(watch);
        watch.open();
        return watch;
    }

    /** Counts the call by its outcome: {@code done} or the type of the failure. */
    private <T> CompletionStage<T> countOutcome(String call, Future<T> future) {
        return future.onComplete(done -> {
                    String outcome = done.succeeded()
                            ? "done"
                            : EndiveholdException.unwrap(done.cause()).type().label();
                    context.meters()
                            .counter("endivehold.store.calls", "call", call, "outcome", outcome)
                            .increment();
                })
                .toCompletionStage();
    }
}
