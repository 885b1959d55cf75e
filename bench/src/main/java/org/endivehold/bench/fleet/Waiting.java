package org.endivehold.bench.fleet;

import io.vertx.core.Future;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;

/** Blocking waits, for threads that are not event loops. */
public final class Waiting {
    private static final long TIMEOUT_MILLIS = 30_000;
    private static final long POLL_MILLIS = 20;

    private Waiting() {}

    /**
     * Waits up to 30 s for a future.
     *
     * @param future the future
     * @param <T> type of its result
     * @return its result
     * @throws EndiveholdException its failure, or {@code INTERNAL} if it times out or the thread is interrupted
     */
    public static <T> T on(Future<T> future) throws EndiveholdException {
        return on(future.toCompletionStage());
    }

    /**
     * Waits up to 30 s for a completion stage.
     *
     * @param stage the stage
     * @param <T> type of its result
     * @return its result
     * @throws EndiveholdException its failure, or {@code INTERNAL} if it times out or the thread is interrupted
     */
    public static <T> T on(CompletionStage<T> stage) throws EndiveholdException {
        try {
            return stage.toCompletableFuture().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw EndiveholdException.unwrap(e);
        } catch (TimeoutException e) {
            throw failure("no answer in time (30 s)", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure("interrupted", e);
        }
    }

    /**
     * Polls a condition every 20 ms until it holds or the time is up.
     *
     * @param condition the condition; evaluated on the calling thread
     * @param millis time-out in milliseconds
     * @return false if the condition did not hold in time
     * @throws EndiveholdException of type {@code INTERNAL} if interrupted
     */
    public static boolean until(BooleanSupplier condition, long millis) throws EndiveholdException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            pause(POLL_MILLIS);
        }
        return true;
    }

    /**
     * Sleeps for a fixed time.
     *
     * @param millis duration in milliseconds; a negative value counts as 0
     * @throws EndiveholdException of type {@code INTERNAL} if interrupted
     */
    public static void pause(long millis) throws EndiveholdException {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure("interrupted", e);
        }
    }

    private static EndiveholdException failure(String message, Throwable cause) {
        return new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.INTERNAL, message).causedBy(cause);
    }
}
