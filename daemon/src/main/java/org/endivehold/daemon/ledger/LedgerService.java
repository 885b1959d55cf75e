package org.endivehold.daemon.ledger;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.apache.commons.codec.digest.DigestUtils;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.kernel.StatusContributor;
import org.endivehold.daemon.request.PlainRequest;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.ledger.ClaimId;
import org.endivehold.ledger.ClaimProcedure;
import org.endivehold.ledger.DuplicateCallHandler;
import org.endivehold.ledger.LedgerCodec;
import org.endivehold.ledger.LedgerEntry;
import org.endivehold.ledger.LedgerProcedure;
import org.endivehold.ledger.LedgerStep;
import org.endivehold.ledger.RecordProcedure;
import org.endivehold.ledger.RecordedAnswer;
import org.endivehold.ledger.ReleaseProcedure;
import org.endivehold.misc.LogEvent;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;
import org.endivehold.upstream.PlainAnswer;
import org.jboss.logging.Logger;

/**
 * Ensures that calls with an idempotency key are executed at most once: claims the key before the call is sent, and
 * records the answer afterwards.
 *
 * <p>Entries are stored under {@code once/<customer>/<SHA-256 of the key>} and are attached to a lease, so that the
 * key-value service deletes them when they expire. Recording and releasing may continue in the background after the
 * caller got its answer; one limit applies to the number of all open procedures, including claims.
 */
public final class LedgerService implements Service, StatusContributor {
    /** Name of the service. */
    public static final String NAME = "ledger";

    /** Longest idempotency key, in characters. */
    public static final int MAX_KEY_LENGTH = 255;

    private static final Logger log = Logger.getLogger(LedgerService.class);
    private static final int MAX_OPEN_PROCEDURES = 4096;

    private final DaemonContext context;
    private final LongSupplier wallMillis;
    private final DuplicateCallHandler duplicateCallHandler;

    private PlatformStore store;
    private LedgerLease lease;
    private long claims;
    private int openProcedures;
    private long unsettled;
    private Promise<Void> drained;

    /**
     * Creates the service.
     *
     * @param context shared objects of the daemon
     */
    public LedgerService(DaemonContext context) {
        this(context, System::currentTimeMillis);
    }

    LedgerService(DaemonContext context, LongSupplier wallMillis) {
        this.context = context;
        this.wallMillis = wallMillis;
        this.duplicateCallHandler = new DuplicateCallHandler(context.settings().host(), context.incarnation());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> dependencies() {
        return Set.of("store");
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            store = kernel.find("store", PlatformStore.class);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        Duration keep = Duration.ofHours(context.settings().ledger().keepHours());
        lease = new LedgerLease(store, context.vertx().getOrCreateContext(), context.ticker(), wallMillis, keep);
        return Future.succeededFuture();
    }

    /**
     * Claims the idempotency key of a call.
     *
     * @param request the call, which must have a key
     * @return the claim or a recorded answer; fails with {@code LEDGER_UNAVAILABLE} if the key could not be claimed, so
     *     that the call must not be sent, or as described at {@link DuplicateCallHandler} if another call has the key
     */
    public Future<ClaimOutcome> claim(PlainRequest request) {
        if (openProcedures >= MAX_OPEN_PROCEDURES) {
            return Future.failedFuture(new EndiveholdException(ErrorType.LEDGER_UNAVAILABLE));
        }
        return lease.current()
                .recover(failure -> Future.failedFuture(unavailable(failure)))
                .compose(leaseId -> claim(request, leaseId));
    }

    private Future<ClaimOutcome> claim(PlainRequest request, LeaseId leaseId) {
        String key = key(request);
        LedgerEntry entry = entry(request);
        ClaimProcedure procedure = new ClaimProcedure(entry, request.deadlineAt());
        return run(key, Optional.of(leaseId), procedure).compose(step -> {
            if (step instanceof LedgerStep.Held held) {
                return Future.succeededFuture(new ClaimOutcome.Held(key, entry, held.revision(), leaseId));
            }
            if (step instanceof LedgerStep.Taken taken) {
                return answerDuplicate(taken.entry(), entry.digest()).map(ClaimOutcome.Answered::new);
            }
            if (step instanceof LedgerStep.Unavailable unavailable && unavailable.claimMayAppear()) {
                release(key, entry.claim(), true);
            }
            return Future.failedFuture(new EndiveholdException(ErrorType.LEDGER_UNAVAILABLE));
        });
    }

    /**
     * Looks up the idempotency key of a call without claiming it.
     *
     * @param request the call, which must have a key
     * @return the recorded answer; empty if the key is free or the ledger cannot be read; fails as described at
     *     {@link DuplicateCallHandler} if another call has the key
     */
    public Future<Optional<PlainAnswer>> peek(PlainRequest request) {
        return Future.fromCompletionStage(
                        store.get(key(request)), context.vertx().getOrCreateContext())
                .otherwise(Optional.empty())
                .compose(found -> found.isEmpty()
                        ? Future.succeededFuture(Optional.empty())
                        : answerDuplicate(LedgerCodec.decode(found.get()), CallDigest.of(request))
                                .map(Optional::of));
    }

    /**
     * Records the answer of a call that was executed.
     *
     * @param held the claim
     * @param answer the answer
     * @return completes when the answer is stored or all attempts to store it have failed; never fails
     */
    public Future<Void> record(ClaimOutcome.Held held, PlainAnswer answer) {
        int maxBytes = context.settings().ledger().maxAnswerBytes();
        return writeResult(held, held.entry().done(RecordedAnswer.of(answer, maxBytes)));
    }

    /**
     * Records that a call was sent but not answered, so that its outcome is unknown.
     *
     * @param held the claim
     * @return completes when this is stored or all attempts to store it have failed; never fails
     */
    public Future<Void> recordUnknown(ClaimOutcome.Held held) {
        return writeResult(held, held.entry().unknown());
    }

    /**
     * Releases a claim whose call was not sent and will not be.
     *
     * @param held the claim
     */
    public void release(ClaimOutcome.Held held) {
        release(held.key(), held.entry().claim(), false);
    }

    private void release(String key, ClaimId claim, boolean claimMayAppear) {
        run(key, Optional.empty(), new ReleaseProcedure(claim, claimMayAppear))
                .onSuccess(step -> reportIfUnsettled(step, "release"));
    }

    private Future<Void> writeResult(ClaimOutcome.Held held, LedgerEntry entry) {
        RecordProcedure procedure = new RecordProcedure(entry, held.revision());
        return run(held.key(), Optional.of(held.lease()), procedure)
                .onSuccess(step -> reportIfUnsettled(step, "record"))
                .mapEmpty();
    }

    private void reportIfUnsettled(LedgerStep step, String change) {
        if (step instanceof LedgerStep.Settled end && end.done()) {
            return;
        }
        unsettled++;
        context.meters().counter("ledger.unsettled", "change", change).increment();
        LogEvent.of("ledger-unsettled").with("change", change).warn(log);
    }

    private Future<PlainAnswer> answerDuplicate(Optional<LedgerEntry> first, String digest) {
        try {
            if (first.isEmpty()) {
                throw new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.LEDGER_OUTCOME_UNKNOWN);
            }
            return Future.succeededFuture(duplicateCallHandler.answer(first.get(), digest, wallMillis.getAsLong()));
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
    }

    private Future<LedgerStep> run(String key, Optional<LeaseId> leaseId, LedgerProcedure procedure) {
        openProcedures++;
        return new ProcedureRunner(
                        context.vertx(),
                        context.ticker(),
                        store,
                        key,
                        leaseId,
                        procedure,
                        lost -> lease.invalidate(lost))
                .run()
                .onComplete(done -> onProcedureEnd());
    }

    private void onProcedureEnd() {
        openProcedures--;
        if (openProcedures == 0 && drained != null) {
            drained.tryComplete();
        }
    }

    private LedgerEntry entry(PlainRequest request) {
        claims++;
        String id = CallDigest.of(
                context.settings().host().value(), context.incarnation().toString(), Long.toString(claims));
        long remainingMillis =
                Math.max(0, request.deadlineAt() - context.ticker().millis());
        return new LedgerEntry(
                new ClaimId(id),
                CallDigest.of(request),
                context.settings().host(),
                context.incarnation(),
                wallMillis.getAsLong() + remainingMillis,
                LedgerEntry.State.CLAIMED,
                Optional.empty());
    }

    private static String key(PlainRequest request) {
        String hash = DigestUtils.sha256Hex(request.idempotencyKey().orElseThrow());
        return "once/" + request.customer() + "/" + hash;
    }

    private static EndiveholdException unavailable(Throwable cause) {
        return new EndiveholdException(ErrorType.LEDGER_UNAVAILABLE).causedBy(cause);
    }

    @Override
    public Future<Void> drain() {
        if (openProcedures == 0) {
            return Future.succeededFuture();
        }
        drained = Promise.promise();
        return drained.future();
    }

    @Override
    public Future<Void> stop() {
        return Future.succeededFuture();
    }

    @Override
    public String statusName() {
        return NAME;
    }

    @Override
    public LedgerStatus status() {
        return new LedgerStatus(claims, openProcedures, unsettled);
    }

    /**
     * The state of the ledger as shown to operators. The component names appear in the status document.
     *
     * @param claims number of attempts to claim a key since the daemon started
     * @param open number of open procedures
     * @param unsettled number of records and releases since the daemon started that are not known to have succeeded
     */
    public record LedgerStatus(long claims, int open, long unsettled) {}
}
