package org.endivehold.daemon.ledger;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.ledger.LedgerCodec;
import org.endivehold.ledger.LedgerProcedure;
import org.endivehold.ledger.LedgerStep;
import org.endivehold.misc.Ticker;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;

/** Executes one ledger procedure against the key-value service, on the daemon's event loop. */
final class ProcedureRunner {
    private final Vertx vertx;
    private final Context context;
    private final Ticker ticker;
    private final PlatformStore store;
    private final String key;
    private final Optional<LeaseId> lease;
    private final LedgerProcedure procedure;
    private final Consumer<LeaseId> onLeaseLost;
    private final Promise<LedgerStep> finalStep = Promise.promise();

    ProcedureRunner(
            Vertx vertx,
            Ticker ticker,
            PlatformStore store,
            String key,
            Optional<LeaseId> lease,
            LedgerProcedure procedure,
            Consumer<LeaseId> onLeaseLost) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.ticker = ticker;
        this.store = store;
        this.key = key;
        this.lease = lease;
        this.procedure = procedure;
        this.onLeaseLost = onLeaseLost;
    }

    /** Runs the procedure. Returns its final step; never fails. */
    Future<LedgerStep> run() {
        execute(procedure.start());
        return finalStep.future();
    }

    private void execute(LedgerStep step) {
        if (step instanceof LedgerStep.Swap swap) {
            byte[] value = LedgerCodec.encode(swap.entry());
            callAfter(
                    swap.delayMillis(),
                    () -> store.compareAndSwap(key, swap.expected(), value, lease),
                    result -> procedure.onSwap(result, ticker.millis()));
        } else if (step instanceof LedgerStep.Read read) {
            callAfter(read.delayMillis(), () -> store.get(key), found -> procedure.onRead(found, ticker.millis()));
        } else if (step instanceof LedgerStep.Delete delete) {
            callAfter(
                    delete.delayMillis(),
                    () -> store.delete(key, delete.expected()),
                    deleted -> procedure.onDelete(deleted, ticker.millis()));
        } else {
            finalStep.complete(step);
        }
    }

    private <T> void callAfter(long delayMillis, Supplier<CompletionStage<T>> call, Function<T, LedgerStep> onResult) {
        if (delayMillis > 0) {
            vertx.setTimer(delayMillis, timer -> callNow(call, onResult));
        } else {
            callNow(call, onResult);
        }
    }

    private <T> void callNow(Supplier<CompletionStage<T>> call, Function<T, LedgerStep> onResult) {
        Future.fromCompletionStage(call.get(), context)
                .onSuccess(result -> execute(onResult.apply(result)))
                .onFailure(failure -> execute(procedure.onFailure(classify(failure), ticker.millis())));
    }

    private ErrorType classify(Throwable failure) {
        ErrorType type = EndiveholdException.unwrap(failure).type();
        if (type == ErrorType.LEASE_LOST || type == ErrorType.STORE_REFUSED) {
            lease.ifPresent(onLeaseLost);
        }
        // A failure of unspecified type may occur at any point of the call, so the write may have taken effect.
        return type == ErrorType.INTERNAL ? ErrorType.STORE_UNKNOWN : type;
    }
}
