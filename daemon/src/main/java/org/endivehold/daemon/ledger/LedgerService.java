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
 * Keeps non-idempotent calls to one run: claims a key before the call is sent, and records its answer afterwards.
 *
 * <p>Entries live under {@code once/<customer>/<SHA-256 of the key>} and are bound to a lease, so the key-value service
 * removes them by itself. Records and releases go on in the background after their caller was answered; their number is
 * bounded together with the claims.
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
    private final DuplicateCallHandler secondCall;

    private PlatformStore store;
    private LedgerLease lease;
    private long claims;
    private int open;
    private long unsettled;
    private Promise<Void> drained;

    /**
     * Creates the service.
     *
     * @param context the daemon's context
     */
    public LedgerService(DaemonContext context) {
        this(context, System::currentTimeMillis);
    }

    LedgerService(DaemonContext context, LongSupplier wallMillis) {
        this.context = context;
        this.wallMillis = wallMillis;
        this.secondCall = new DuplicateCallHandler(context.settings().host(), context.incarnation());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> needs() {
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
     * Claims the key of a call.
     *
     * @param request the call, with its key
     * @return the claim or a recorded answer; fails with {@code LEDGER_UNAVAILABLE} if nothing was and nothing will be
     *     run, or as {@link DuplicateCallHandler} says if another call has the key
     */
    public Future<ClaimOutcome> claim(PlainRequest request) {
        if (open >= MAX_OPEN_PROCEDURES) {
            return Future.failedFuture(new EndiveholdException(ErrorType.LEDGER_UNAVAILABLE));
        }
        return lease.current()
                .recover(failure -> Future.failedFuture(unavailable(failure)))
                .compose(bound -> claim(request, bound));
    }

    private Future<ClaimOutcome> claim(PlainRequest request, LeaseId bound) {
        String key = key(request);
        LedgerEntry entry = entry(request);
        ClaimProcedure procedure = new ClaimProcedure(entry, request.deadlineAt());
        return run(key, Optional.of(bound), procedure).compose(step -> {
            if (step instanceof LedgerStep.Held held) {
                return Future.succeededFuture(new ClaimOutcome.Held(key, entry, held.revision(), bound));
            }
            if (step instanceof LedgerStep.Taken taken) {
                return second(taken.entry(), entry.digest()).map(ClaimOutcome.Answered::new);
            }
            if (step instanceof LedgerStep.Unavailable lost && lost.claimMayAppear()) {
                release(key, entry.claim(), true);
            }
            return Future.failedFuture(new EndiveholdException(ErrorType.LEDGER_UNAVAILABLE));
        });
    }

    /**
     * Looks whether an earlier call has the key, without claiming it.
     *
     * @param request the call, with its key
     * @return the recorded answer, or empty if the key is free or the ledger cannot be read; fails as
     *     {@link DuplicateCallHandler} says if another call has the key
     */
    public Future<Optional<PlainAnswer>> peek(PlainRequest request) {
        return Future.fromCompletionStage(
                        store.get(key(request)), context.vertx().getOrCreateContext())
                .otherwise(Optional.empty())
                .compose(found -> found.isEmpty()
                        ? Future.succeededFuture(Optional.empty())
                        : second(LedgerCodec.decode(found.get()), CallDigest.of(request))
                                .map(Optional::of));
    }

    /**
     * Records the answer of a call that ran.
     *
     * @param held the claim
     * @param answer the answer
     * @return when the answer stands in the ledger or the attempts are spent; never fails
     */
    public Future<Void> record(ClaimOutcome.Held held, PlainAnswer answer) {
        int maxBytes = context.settings().ledger().maxAnswerBytes();
        return end(held, held.entry().done(RecordedAnswer.of(answer, maxBytes)));
    }

    /**
     * Records that a call was sent and not answered.
     *
     * @param held the claim
     * @return when this stands in the ledger or the attempts are spent; never fails
     */
    public Future<Void> recordUnknown(ClaimOutcome.Held held) {
        return end(held, held.entry().unknown());
    }

    /**
     * Gives up a claim whose call was not sent and never will be.
     *
     * @param held the claim
     */
    public void release(ClaimOutcome.Held held) {
        release(held.key(), held.entry().claim(), false);
    }

    private void release(String key, ClaimId claim, boolean mayLand) {
        run(key, Optional.empty(), new ReleaseProcedure(claim, mayLand)).onSuccess(step -> settled(step, "release"));
    }

    private Future<Void> end(ClaimOutcome.Held held, LedgerEntry entry) {
        RecordProcedure procedure = new RecordProcedure(entry, held.revision());
        return run(held.key(), Optional.of(held.lease()), procedure)
                .onSuccess(step -> settled(step, "record"))
                .mapEmpty();
    }

    private void settled(LedgerStep step, String change) {
        if (step instanceof LedgerStep.Settled end && end.done()) {
            return;
        }
        unsettled++;
        context.meters().counter("ledger.unsettled", "change", change).increment();
        LogEvent.of("ledger-unsettled").with("change", change).warn(log);
    }

    private Future<PlainAnswer> second(Optional<LedgerEntry> first, String digest) {
        try {
            if (first.isEmpty()) {
                throw new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.LEDGER_OUTCOME_UNKNOWN);
            }
            return Future.succeededFuture(secondCall.answer(first.get(), digest, wallMillis.getAsLong()));
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
    }

    private Future<LedgerStep> run(String key, Optional<LeaseId> bound, LedgerProcedure procedure) {
        open++;
        return new ProcedureRunner(
                        context.vertx(), context.ticker(), store, key, bound, procedure, lost -> lease.invalidate(lost))
                .run()
                .onComplete(done -> closed());
    }

    private void closed() {
        open--;
        if (open == 0 && drained != null) {
            drained.tryComplete();
        }
    }

    private LedgerEntry entry(PlainRequest request) {
        claims++;
        String id = CallDigest.of(
                context.settings().host().value(), context.incarnation().toString(), Long.toString(claims));
        long left = Math.max(0, request.deadlineAt() - context.ticker().millis());
        return new LedgerEntry(
                new ClaimId(id),
                CallDigest.of(request),
                context.settings().host(),
                context.incarnation(),
                wallMillis.getAsLong() + left,
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
        if (open == 0) {
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
        return new LedgerStatus(claims, open, unsettled);
    }

    /**
     * State of the ledger at this daemon.
     *
     * @param claims keys that it tried to claim since its start
     * @param open changes under way
     * @param unsettled changes that it gave up since its start
     */
    public record LedgerStatus(long claims, int open, long unsettled) {}
}
