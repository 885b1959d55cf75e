package org.endivehold.relay.serve;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.crash.LostAttempt;
import org.endivehold.relay.crash.UpstreamStart;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/** Finds out whether an upstream ended under the attempts that were lost there. */
public final class CrashMonitor {
    /** Parts of a prompt that are logged; a prompt may have many. */
    private static final int MAX_LOGGED_PARTS = 16;

    private static final Logger log = Logger.getLogger(CrashMonitor.class);

    private final ProcessCheck processes;
    /** Checks in progress: attempts that are lost together share one. */
    private final Map<UpstreamStart, Future<ProcessCheck.Result>> checks = new HashMap<>();

    /** Creates a monitor that finds out with {@code processes} whether an upstream has ended. */
    public CrashMonitor(ProcessCheck processes) {
        this.processes = processes;
    }

    /**
     * Investigates an attempt that was lost; the future completes when it is known whether its upstream has ended.
     *
     * @param lost the attempt
     * @param upstream the upstream that was to answer it
     */
    Future<Void> investigate(LostAttempt lost, Upstream upstream) {
        return check(lost.upstream(), upstream)
                .onSuccess(result -> LogEvent.of("attempt-lost")
                        .with("request", lost.request())
                        .with("upstream", lost.upstream().upstream())
                        .with("started_at", lost.upstream().startedAtMillis())
                        .with("process", result)
                        .with("sent_ms", Math.round(lost.sentMillis()))
                        .with("answering_ms", Math.round(lost.answeringMillis().orElse(-1)))
                        .with("beginning", lost.wasBeginning())
                        .with(
                                "parts",
                                lost.parts().stream().limit(MAX_LOGGED_PARTS).toList())
                        .info(log))
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
}
