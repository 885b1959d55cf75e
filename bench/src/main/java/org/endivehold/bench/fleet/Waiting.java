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

/** Waits on a thread that is not an event loop. */
public final class Waiting {
    private static final long DEFAULT_MILLIS = 30_000;
    private static final long POLL_MILLIS = 20;

    private Waiting() {}

    /**
     * Waits for a future.
     *
     * @param future the future
     * @param <T> type of its result
     * @return its result
     * @throws EndiveholdException its failure, or {@code INTERNAL} if it takes too long
     */
    public static <T> T on(Future<T> future) throws EndiveholdException {
        return on(future.toCompletionStage());
    }

    /**
     * Waits for a stage.
     *
     * @param stage the stage
     * @param <T> type of its result
     * @return its result
     * @throws EndiveholdException its failure, or {@code INTERNAL} if it takes too long
     */
    public static <T> T on(CompletionStage<T> stage) throws EndiveholdException {
        try {
            return stage.toCompletableFuture().get(DEFAULT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw EndiveholdException.unwrap(e);
        } catch (TimeoutException e) {
            throw failure("no answer in time", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure("interrupted", e);
        }
    }

    /**
     * Waits until a condition holds.
     *
     * @param condition the condition
     * @param millis longest time in milliseconds
     * @return whether it holds
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
     * Sleeps.
     *
     * @param millis milliseconds; nothing happens if not positive
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

    private static EndiveholdException failure(String how, Throwable cause) {
        return new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.INTERNAL, how).causedBy(cause);
    }
}
