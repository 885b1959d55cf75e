package org.endivehold.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** In-memory fake of the key-value service that answers at once, with planned faults for writes to one key. */
public final class FakeStore implements PlatformStore {
    /** Fault of one write. */
    public enum WriteFault {
        /** No fault. */
        NONE,
        /** The write is applied, and the answer is lost. */
        APPLIED_UNANSWERED,
        /** The write is lost: it is not applied, and there is no answer. */
        NOT_APPLIED_UNANSWERED,
        /** The answer is lost, and the write is applied just before the next write. */
        APPLIED_LATE_UNANSWERED,
        /** The service refuses the connection. */
        UNAVAILABLE
    }

    private final TreeMap<String, StoreEntry> entries = new TreeMap<>();
    private final Deque<WriteFault> faults = new ArrayDeque<>();
    private final List<Runnable> lateWrites = new ArrayList<>();
    private String faultyKey = "";
    private Runnable beforeFaultyWrite = () -> {};
    private Runnable afterFault = () -> {};
    private boolean down;
    private long revision;

    public void plan(String key, WriteFault... planned) {
        faultyKey = key;
        faults.addAll(List.of(planned));
    }

    /** Sets an action that runs once, just before the next write to a key. */
    public void before(String key, Runnable action) {
        faultyKey = key;
        beforeFaultyWrite = action;
    }

    /** Sets an action that runs once, after the next planned fault. */
    public void afterFault(Runnable action) {
        afterFault = action;
    }

    public void down(boolean isDown) {
        down = isDown;
    }

    public List<String> keys(String prefix) {
        return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    public void applyLateWrites() {
        List<Runnable> writes = List.copyOf(lateWrites);
        lateWrites.clear();
        writes.forEach(Runnable::run);
    }

    @Override
    public CompletionStage<Optional<StoreEntry>> get(String key) {
        return answer(() -> Optional.ofNullable(entries.get(key)));
    }

    @Override
    public CompletionStage<List<StoreEntry>> list(String prefix) {
        return answer(() -> entries.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList());
    }

    @Override
    public CompletionStage<SwapResult> compareAndSwap(
            String key, long expected, byte[] value, Optional<LeaseId> lease) {
        applyLateWrites();
        if (key.equals(faultyKey)) {
            Runnable action = beforeFaultyWrite;
            beforeFaultyWrite = () -> {};
            action.run();
        }
        WriteFault fault = key.equals(faultyKey) && !faults.isEmpty() ? faults.poll() : WriteFault.NONE;
        CompletionStage<SwapResult> result = apply(fault, key, expected, value);
        if (fault != WriteFault.NONE) {
            Runnable action = afterFault;
            afterFault = () -> {};
            action.run();
        }
        return result;
    }

    private CompletionStage<SwapResult> apply(WriteFault fault, String key, long expected, byte[] value) {
        return switch (fault) {
            case NONE -> answer(() -> swap(key, expected, value));
            case APPLIED_UNANSWERED -> {
                swap(key, expected, value);
                yield fail(ErrorType.STORE_UNKNOWN);
            }
            case NOT_APPLIED_UNANSWERED -> fail(ErrorType.STORE_UNKNOWN);
            case APPLIED_LATE_UNANSWERED -> {
                lateWrites.add(() -> swap(key, expected, value));
                yield fail(ErrorType.STORE_UNKNOWN);
            }
            case UNAVAILABLE -> fail(ErrorType.STORE_UNAVAILABLE);
        };
    }

    private SwapResult swap(String key, long expected, byte[] value) {
        long actual = entries.containsKey(key) ? entries.get(key).revision() : 0;
        if (actual == expected) {
            revision++;
            entries.put(key, new StoreEntry(key, value, revision));
        }
        return new SwapResult(actual == expected, Optional.ofNullable(entries.get(key)));
    }

    @Override
    public CompletionStage<Boolean> delete(String key, long expected) {
        return answer(() ->
                entries.containsKey(key) && entries.get(key).revision() == expected && entries.remove(key) != null);
    }

    @Override
    public CompletionStage<LeaseId> grantLease(Duration ttl) {
        return fail(ErrorType.STORE_REFUSED);
    }

    @Override
    public CompletionStage<Duration> renewLease(LeaseId lease) {
        return fail(ErrorType.LEASE_LOST);
    }

    @Override
    public CompletionStage<Void> revokeLease(LeaseId lease) {
        return fail(ErrorType.STORE_REFUSED);
    }

    @Override
    public Watch watch(String prefix, WatchListener listener) {
        return () -> {};
    }

    private <T> CompletionStage<T> answer(java.util.function.Supplier<T> call) {
        return down ? fail(ErrorType.STORE_UNAVAILABLE) : CompletableFuture.completedFuture(call.get());
    }

    private static <T> CompletionStage<T> fail(ErrorType type) {
        return CompletableFuture.failedFuture(new EndiveholdException(type, "planned"));
    }
}
