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

/** An in-memory key-value service whose writes succeed or fail as scripted. Thread-safe. */
public final class FakeStore implements Service, PlatformStore {
    /** The scripted outcome of a write. */
    public enum WriteOutcome {
        /** The write takes effect and is answered. */
        DONE,
        /** The write takes effect, but its answer is lost. */
        APPLIED_UNANSWERED,
        /** The write takes no effect, and its answer is lost, so that the caller does not know this. */
        NOT_APPLIED_UNANSWERED,
        /** The write takes no effect, and the caller is informed of this. */
        UNAVAILABLE,
        /** The write is rejected, since the lease does not exist. */
        LEASE_LOST
    }

    private final Map<String, StoreEntry> keys = new TreeMap<>();
    private final Deque<WriteOutcome> scriptedWrites = new ArrayDeque<>();
    private final List<Duration> leases = new ArrayList<>();
    private boolean unavailable;
    private long revision;
    private int writes;

    public synchronized void scriptWrites(WriteOutcome... outcomes) {
        scriptedWrites.addAll(List.of(outcomes));
    }

    public synchronized void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
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
        WriteOutcome outcome = unavailable
                ? WriteOutcome.UNAVAILABLE
                : scriptedWrites.isEmpty() ? WriteOutcome.DONE : scriptedWrites.remove();
        return switch (outcome) {
            case DONE -> CompletableFuture.completedStage(change.get());
            case APPLIED_UNANSWERED -> {
                T lost = change.get();
                yield lost == null ? failed(ErrorType.INTERNAL) : failed(ErrorType.STORE_UNKNOWN);
            }
            case NOT_APPLIED_UNANSWERED -> failed(ErrorType.STORE_UNKNOWN);
            case LEASE_LOST -> failed(ErrorType.LEASE_LOST);
            default -> failed(ErrorType.STORE_UNAVAILABLE);
        };
    }

    private synchronized <T> CompletionStage<T> read(Supplier<T> lookup) {
        return unavailable ? failed(ErrorType.STORE_UNAVAILABLE) : CompletableFuture.completedStage(lookup.get());
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
