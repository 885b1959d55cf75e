package org.endivehold.daemon.ledger;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;
import org.endivehold.platform.WatchListener;

/** A key-value service in memory whose writes fail as a script says; safe for use from two threads. */
public final class FakeStore implements Service, PlatformStore {
    /** What happens to a write. */
    public enum Fate {
        /** Takes effect and is answered. */
        DONE,
        /** Takes effect, and the answer is lost. */
        LOST_LANDED,
        /** Takes no effect, and the answer is lost. */
        LOST_NEVER,
        /** Takes no effect, and the caller is told so. */
        UNAVAILABLE,
        /** The service does not know the lease. */
        LEASE_LOST
    }

    private final Map<String, StoreEntry> keys = new TreeMap<>();
    private final Deque<Fate> script = new ArrayDeque<>();
    private final List<Duration> leases = new ArrayList<>();
    private boolean out;
    private long revision;
    private int writes;

    public synchronized void script(Fate... fates) {
        script.addAll(List.of(fates));
    }

    public synchronized void setOut(boolean isOut) {
        out = isOut;
    }

    public synchronized List<StoreEntry> entries() {
        return List.copyOf(keys.values());
    }

    public synchronized List<Duration> leases() {
        return List.copyOf(leases);
    }

    public synchronized int writes() {
        return writes;
    }

    private synchronized <T> CompletionStage<T> write(Supplier<T> change) {
        writes++;
        Fate fate = out ? Fate.UNAVAILABLE : script.isEmpty() ? Fate.DONE : script.remove();
        return switch (fate) {
            case DONE -> CompletableFuture.completedStage(change.get());
            case LOST_LANDED -> {
                T lost = change.get();
                yield lost == null ? failed(ErrorType.INTERNAL) : failed(ErrorType.STORE_UNKNOWN);
            }
            case LOST_NEVER -> failed(ErrorType.STORE_UNKNOWN);
            case LEASE_LOST -> failed(ErrorType.LEASE_LOST);
            default -> failed(ErrorType.STORE_UNAVAILABLE);
        };
    }

    private synchronized <T> CompletionStage<T> read(Supplier<T> look) {
        return out ? failed(ErrorType.STORE_UNAVAILABLE) : CompletableFuture.completedStage(look.get());
    }

    private static <T> CompletionStage<T> failed(ErrorType type) {
        return CompletableFuture.failedStage(new EndiveholdException(type, "scripted"));
    }

    private long revisionOf(String key) {
        return keys.containsKey(key) ? keys.get(key).revision() : 0;
    }

    @Override
    public CompletionStage<Optional<StoreEntry>> get(String key) {
        return read(() -> Optional.ofNullable(keys.get(key)));
    }

    @Override
    public CompletionStage<List<StoreEntry>> list(String prefix) {
        return read(() -> keys.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList());
    }

    @Override
    public CompletionStage<SwapResult> compareAndSwap(
            String key, long expected, byte[] value, Optional<LeaseId> lease) {
        return write(() -> {
            boolean swapped = revisionOf(key) == expected;
            if (swapped) {
                keys.put(key, new StoreEntry(key, value, ++revision));
            }
            return new SwapResult(swapped, Optional.ofNullable(keys.get(key)));
        });
    }

    @Override
    public CompletionStage<Boolean> delete(String key, long expected) {
        return write(() -> revisionOf(key) == expected && keys.remove(key) != null);
    }

    @Override
    public CompletionStage<LeaseId> grantLease(Duration ttl) {
        return read(() -> {
            leases.add(ttl);
            return new LeaseId(leases.size());
        });
    }

    @Override
    public CompletionStage<Duration> renewLease(LeaseId lease) {
        return failed(ErrorType.LEASE_LOST);
    }

    @Override
    public CompletionStage<Void> revokeLease(LeaseId lease) {
        return read(() -> null);
    }

    @Override
    public Watch watch(String prefix, WatchListener listener) {
        return () -> {};
    }

    @Override
    public String name() {
        return "store";
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        return Future.succeededFuture();
    }
}
