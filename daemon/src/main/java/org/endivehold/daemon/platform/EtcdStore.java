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
 * The key-value service over the JSON gateway of etcd v3. Keys are given without the installation's prefix, which the
 * settings name and this adapter adds.
 */
public final class EtcdStore implements Service, PlatformStore {
    /** Name of the service. */
    public static final String NAME = "store";

    private static final String RANGE = "/v3/kv/range";
    private static final String TXN = "/v3/kv/txn";

    private final DaemonContext context;
    private final EtcdJson json;
    private final EtcdCaller caller;
    private final List<EtcdWatch> watches = new ArrayList<>();

    /**
     * Creates the adapter.
     *
     * @param context what the daemon's services share
     */
    public EtcdStore(DaemonContext context) {
        this.context = context;
        this.json = new EtcdJson(context.settings().store().prefix());
        this.caller = new EtcdCaller(context.vertx(), context.settings().store());
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
        return caller.close();
    }

    @Override
    public CompletionStage<Optional<StoreEntry>> get(String key) {
        return stage("get", caller.read(RANGE, json.range(key)).map(json::firstEntry));
    }

    @Override
    public CompletionStage<List<StoreEntry>> list(String prefix) {
        return stage("list", caller.read(RANGE, json.rangePrefix(prefix)).map(json::entries));
    }

    @Override
    public CompletionStage<SwapResult> compareAndSwap(
            String key, long expected, byte[] value, Optional<LeaseId> lease) {
        if (value.length > MAX_VALUE_BYTES) {
            return CompletableFuture.failedFuture(new EndiveholdException(
                    ErrorType.STORE_REFUSED, "the value of " + key + " exceeds " + MAX_VALUE_BYTES + " bytes"));
        }
        return stage(
                "swap", caller.write(TXN, json.put(key, expected, value, lease)).map(answer -> {
                    if (answer.getBoolean("succeeded", false)) {
                        StoreEntry written = new StoreEntry(key, value, EtcdJson.headerRevision(answer));
                        return new SwapResult(true, Optional.of(written));
                    }
                    return new SwapResult(false, json.standing(answer));
                }));
    }

    @Override
    public CompletionStage<Boolean> delete(String key, long expected) {
        return stage(
                "delete",
                caller.write(TXN, json.delete(key, expected))
                        .map(answer -> expected > 0 && answer.getBoolean("succeeded", false)));
    }

    @Override
    public CompletionStage<LeaseId> grantLease(Duration ttl) {
        long seconds = Math.max(1, (ttl.toMillis() + 999) / 1_000);
        JsonObject body = new JsonObject().put("TTL", Long.toString(seconds));
        return stage(
                "lease-grant",
                caller.write("/v3/lease/grant", body).map(answer -> new LeaseId(EtcdJson.number(answer, "ID"))));
    }

    @Override
    public CompletionStage<Duration> renewLease(LeaseId lease) {
        return stage(
                "lease-renew",
                caller.write("/v3/lease/keepalive", EtcdJson.lease(lease)).compose(answer -> {
                    JsonObject result = answer.getJsonObject("result", answer);
                    long seconds = EtcdJson.number(result, "TTL");
                    return seconds > 0
                            ? Future.succeededFuture(Duration.ofSeconds(seconds))
                            : Future.failedFuture(new EndiveholdException(ErrorType.LEASE_LOST, lease.value()));
                }));
    }

    @Override
    public CompletionStage<Void> revokeLease(LeaseId lease) {
        return stage(
                "lease-revoke",
                caller.write("/v3/lease/revoke", EtcdJson.lease(lease)).mapEmpty());
    }

    @Override
    public Watch watch(String prefix, WatchListener listener) {
        EtcdWatch watch = new EtcdWatch(context, caller, json, prefix, listener, watches::remove);
        watches.add(watch);
        watch.open();
        return watch;
    }

    /** Counts the call by its outcome. */
    private <T> CompletionStage<T> stage(String call, Future<T> future) {
        return future.onComplete(done -> {
                    String outcome = done.succeeded()
                            ? "done"
                            : EndiveholdException.unwrap(done.cause()).type().word();
                    context.meters()
                            .counter("endivehold.store.calls", "call", call, "outcome", outcome)
                            .increment();
                })
                .toCompletionStage();
    }
}
