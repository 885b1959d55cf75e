package org.endivehold.relay.serve;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.crash.Admission;
import org.endivehold.relay.crash.CrashSuspects;
import org.endivehold.relay.crash.LostAttempt;
import org.endivehold.relay.crash.RequestTrait;
import org.endivehold.relay.crash.SoundTrait;
import org.endivehold.relay.crash.SuspectTrait;
import org.endivehold.relay.crash.UpstreamStart;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * Gathers the evidence on requests that crash upstreams from this daemon's own attempts, tells it to the other daemons,
 * and decides about requests by it.
 */
public final class CrashMonitor {
    /** Parts of a prompt that are logged; a prompt may have many. */
    private static final int MAX_LOGGED_PARTS = 16;

    private static final Logger log = Logger.getLogger(CrashMonitor.class);

    private final Ticker ticker;
    private final ProcessCheck processes;
    private final CrashSuspects suspects;
    private final Consumer<PeerMessage> peers;
    /** Checks in progress: attempts that are lost together share one. */
    private final Map<UpstreamStart, Future<ProcessCheck.Result>> checks = new HashMap<>();

    /**
     * Creates a monitor.
     *
     * @param ticker the clock
     * @param processes finds out whether an upstream has ended
     * @param suspects the evidence of the fleet
     * @param peers tells the other daemons
     */
    public CrashMonitor(Ticker ticker, ProcessCheck processes, CrashSuspects suspects, Consumer<PeerMessage> peers) {
        this.ticker = ticker;
        this.processes = processes;
        this.suspects = suspects;
        this.peers = peers;
    }

    private double now() {
        return (double) ticker.millis();
    }

    /**
     * Investigates an attempt that was lost; the future completes when it is known whether its upstream has ended.
     *
     * @param lost the attempt
     * @param upstream the upstream that was to answer it
     */
    Future<Void> investigate(LostAttempt lost, Upstream upstream) {
        return check(lost.upstream(), upstream)
                .onSuccess(result -> {
                    LogEvent.of("attempt-lost")
                            .with("request", lost.request())
                            .with("upstream", lost.upstream().upstream())
                            .with("started_at", lost.upstream().startedAtMillis())
                            .with("process", result)
                            .with("sent_ms", Math.round(lost.sentMillis()))
                            .with(
                                    "answering_ms",
                                    Math.round(lost.answeringMillis().orElse(-1)))
                            .with("beginning", lost.wasBeginning())
                            .with("trait", lost.whole())
                            .with(
                                    "parts",
                                    lost.parts().stream()
                                            .limit(MAX_LOGGED_PARTS)
                                            .toList())
                            .info(log);
                    if (result == ProcessCheck.Result.ENDED) {
                        crashed(lost);
                    }
                })
                .mapEmpty();
    }

    private Future<ProcessCheck.Result> check(UpstreamStart start, Upstream upstream) {
        Future<ProcessCheck.Result> pending = checks.get(start);
        if (pending != null) {
            return pending;
        }
        Future<ProcessCheck.Result> check = processes.check(upstream.entry().address());
        if (!check.isComplete()) {
            checks.put(start, check);
            check.onComplete(done -> checks.remove(start));
        }
        return check;
    }

    private void crashed(LostAttempt lost) {
        List<RequestTrait> news = suspects.recordCrash(lost.upstream(), lost.suspects(), now());
        if (!news.isEmpty()) {
            SuspectTrait.Crash crash = new SuspectTrait.Crash(lost.upstream(), 0);
            peers.accept(new PeerMessage.TraitsSuspected(news.stream()
                    .map(trait -> new SuspectTrait(trait, List.of(crash), 0))
                    .toList()));
        }
    }

    /** Records that an upstream has answered a request with some traits for long enough, or completely. */
    void answered(List<RequestTrait> traits) {
        if (traits.isEmpty()) {
            return;
        }
        List<RequestTrait> cleared = suspects.recordSound(traits, now());
        if (!cleared.isEmpty()) {
            peers.accept(new PeerMessage.TraitsSound(
                    cleared.stream().map(trait -> new SoundTrait(trait, 0)).toList()));
        }
    }

    /** Decides about a request that has not been sent yet. */
    Admission admit(List<RequestTrait> traits) {
        Admission admission = suspects.admit(traits, now());
        if (admission.verdict() == Admission.Verdict.TRY) {
            RequestTrait trait = admission.trait().orElseThrow();
            LogEvent.of("trait-tried").with("trait", trait).info(log);
            peers.accept(new PeerMessage.TraitsSuspected(List.of(suspects.suspect(trait, now()))));
        }
        return admission;
    }

    /** Returns whether any whole request with a body of some bytes is suspected. */
    boolean suspectsRequestOfSize(int bodyBytes) {
        return suspects.suspectsRequestOfSize(bodyBytes);
    }

    /** Returns the first barred trait of a request. */
    Optional<RequestTrait> findBarred(List<RequestTrait> traits) {
        return suspects.findBarred(traits);
    }

    /** Returns whether it depends on the result of {@link #investigate} whether a request may be sent again. */
    boolean isDecisive(LostAttempt lost) {
        return lost.wasBeginning() && !suspects.areSound(lost.parts());
    }

    /** Returns whether a request that was lost at an upstream may be sent to another one, by some of its traits. */
    boolean mayRetry(LostAttempt lost, List<RequestTrait> traits) {
        return suspects.mayRetry(traits, lost.upstream());
    }
}
