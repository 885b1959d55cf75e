package org.endivehold.daemon.request;

import io.micrometer.core.instrument.Timer;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivehold.admission.CallRetryBudget;
import org.endivehold.capacity.Capacity;
import org.endivehold.config.Customer;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.kernel.StatusContributor;
import org.endivehold.daemon.ledger.LedgerService;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.CustomerName;
import org.endivehold.upstream.PlainAnswer;

/**
 * Runs calls to plain services: checks the limits of the customer, and starts a {@link PlainCallRun} for each call.
 * Every call ends by its deadline, and a non-idempotent call runs at most once.
 */
public final class PlainCallService implements Service, PlainRunner, StatusContributor {
    private final DaemonContext context;
    private final Map<CustomerName, Integer> openCallsByCustomer = new HashMap<>();
    private final CallRetryBudget budget;

    private ActiveConfiguration config;
    private UpstreamDirectory upstreams;
    private LedgerService ledger;
    private PermitQueue permits;
    private int openCalls;
    private Promise<Void> drained;

    /**
     * Creates the service.
     *
     * @param context the daemon's context
     */
    public PlainCallService(DaemonContext context) {
        this.context = context;
        this.budget = new CallRetryBudget(context.settings().retry().budgetRatio());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> dependencies() {
        return Set.of(ActiveConfiguration.NAME, "capacity", UpstreamDirectory.NAME, LedgerService.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            config = kernel.find(ActiveConfiguration.NAME, ActiveConfiguration.class);
            upstreams = kernel.find(UpstreamDirectory.NAME, UpstreamDirectory.class);
            ledger = kernel.find(LedgerService.NAME, LedgerService.class);
            permits = new PermitQueue(context, config, kernel.find("capacity", Capacity.class));
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        return Future.succeededFuture();
    }

    @Override
    public Future<PlainAnswer> submit(PlainRequest request) {
        try {
            check(request);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        long startedAt = context.ticker().millis();
        openCalls++;
        openCallsByCustomer.merge(request.customer(), 1, Integer::sum);
        PlainCallRun run = new PlainCallRun(context, upstreams, ledger, permits, budget, request);
        return run.start().onComplete(done -> ended(request, startedAt, done.succeeded()));
    }

    private void check(PlainRequest request) throws EndiveholdException {
        boolean hasKey = request.idempotencyKey().isPresent();
        if (!request.route().idempotent() && !hasKey) {
            throw new EndiveholdException(ErrorType.IDEMPOTENCY_KEY_REQUIRED);
        }
        if (hasKey && request.idempotencyKey().get().length() > LedgerService.MAX_KEY_LENGTH) {
            throw new EndiveholdException(
                    ErrorType.BAD_REQUEST,
                    "the Idempotency-Key is longer than " + LedgerService.MAX_KEY_LENGTH + " characters");
        }
        Customer customer = config.current()
                .map(snapshot -> snapshot.configuration().customers().get(request.customer()))
                .orElseThrow(() -> new EndiveholdException(ErrorType.NO_CONFIGURATION));
        int limit = customer.maxConcurrent() + customer.maxQueued();
        if (openCallsByCustomer.getOrDefault(request.customer(), 0) >= limit) {
            throw new EndiveholdException(ErrorType.CUSTOMER_LIMIT, request.customer(), limit + " requests");
        }
    }

    private void ended(PlainRequest request, long startedAt, boolean answered) {
        openCalls--;
        openCallsByCustomer.computeIfPresent(request.customer(), (name, count) -> count > 1 ? count - 1 : null);
        Timer.builder("plain.calls")
                .tag("customer", request.customer().value())
                .tag("route", request.route().name().value())
                .tag("answered", Boolean.toString(answered))
                .publishPercentileHistogram()
                .register(context.meters())
                .record(context.ticker().millis() - startedAt, TimeUnit.MILLISECONDS);
        if (openCalls == 0 && drained != null) {
            drained.tryComplete();
        }
    }

    @Override
    public Future<Void> drain() {
        if (openCalls == 0) {
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
    public PlainStatus status() {
        return new PlainStatus(openCalls, permits.waitingCalls());
    }

    /**
     * State of the calls to plain services at this daemon.
     *
     * @param open number of calls that have not ended
     * @param waiting number of these that wait for a permit
     */
    public record PlainStatus(int open, int waiting) {}
}
