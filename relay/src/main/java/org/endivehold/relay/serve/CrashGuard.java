package org.endivehold.relay.serve;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.endivehold.relay.crash.Admission;
import org.endivehold.relay.crash.LostAttempt;
import org.endivehold.relay.crash.RequestTrait;
import org.endivehold.relay.crash.UpstreamStart;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.state.Upstream;

/**
 * Decides about one request by what is known of requests that crash upstreams, and reports what it shows of them.
 *
 * <p>What a request has in common with its repeats is a digest of its body, so it is computed only if a request with a
 * body of the same size is suspected, or if this one was lost.
 */
final class CrashGuard {
    /** Retry-after of a barred request, in milliseconds: it is not tried again any sooner. */
    static final double RETRY_AFTER_MILLIS = 60_000;

    private final CrashMonitor crashes;
    private final Exchange exchange;
    private final UpstreamClient.OutgoingRequest outgoing;
    private RequestTrait whole;
    private boolean trial;

    CrashGuard(CrashMonitor crashes, Exchange exchange, UpstreamClient.OutgoingRequest outgoing) {
        this.crashes = crashes;
        this.exchange = exchange;
        this.outgoing = outgoing;
    }

    /** How far an attempt had come when it was lost; see {@link LostAttempt}. */
    record Progress(double sentMillis, double predictedMillis, OptionalDouble answeringMillis) {}

    /** Returns whether the request must not be sent now; once it is let through as a trial, it may be. */
    boolean refuses() {
        if (trial) {
            return false;
        }
        Admission admission = crashes.admit(traits());
        if (admission.verdict() == Admission.Verdict.SEND) {
            return false;
        }
        trial = admission.verdict() == Admission.Verdict.TRY;
        exchange.addStep((trial ? "trial:" : "crashing:") + admission.trait().orElseThrow());
        return !trial;
    }

    /** Returns whether a trait of the request is barred. */
    boolean isBarred() {
        return crashes.findBarred(traits()).isPresent();
    }

    /** Reports that an upstream has been answering for long enough, or has answered completely. */
    void answered() {
        crashes.answered(traits());
    }

    /**
     * Investigates why an attempt was lost, and says whether the request may be sent to another upstream, as far as it
     * is suspected; as soon as that is known.
     */
    void investigate(Upstream upstream, Progress progress, Consumer<Boolean> mayRetry) {
        LostAttempt lost = new LostAttempt(
                exchange.requestHead().attemptId(),
                new UpstreamStart(upstream.id(), upstream.entry().startedAtMillis()),
                whole(),
                exchange.requestHead().sharedParts(),
                progress.sentMillis(),
                progress.predictedMillis(),
                progress.answeringMillis());
        Future<Void> investigated = crashes.investigate(lost, upstream);
        if (crashes.isDecisive(lost)) {
            investigated.onSuccess(known -> mayRetry.accept(crashes.mayRetry(lost, lost.traits())));
        } else {
            mayRetry.accept(crashes.mayRetry(lost, List.of(lost.whole())));
        }
    }

    private List<RequestTrait> traits() {
        List<RequestTrait> traits = new ArrayList<>(exchange.requestHead().sharedParts());
        if (crashes.suspectsRequestOfSize(outgoing.body().length())) {
            traits.add(whole());
        }
        return traits;
    }

    private RequestTrait whole() {
        if (whole == null) {
            whole = RequestTrait.wholeRequest(
                    exchange.customer().map(Customer::name).orElse(""),
                    outgoing.method().name(),
                    outgoing.uri(),
                    outgoing.body());
        }
        return whole;
    }
}
