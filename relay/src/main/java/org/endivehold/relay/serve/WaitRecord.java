package org.endivehold.relay.serve;

import java.util.Optional;
import org.endivehold.relay.schedule.WaitReason;

/**
 * The wait of a request for engines: its time and its reason, as a step of the request and in the metrics.
 *
 * <p>A request that was decided at once has no step. A decider of an earlier version does not tell the reason, so a
 * wait that is longer than an answer usually takes has a step without it.
 */
final class WaitRecord {
    /** Longest time after which a request counts as decided at once if no reason is known, in milliseconds. */
    private static final double MAX_ANSWER_MILLIS = 60;
    /** Label of a reason that is not known. */
    private static final String UNKNOWN = "unknown";

    private final RelayContext context;
    private final Exchange exchange;
    private final double startedAt;
    private Optional<WaitReason> reason = Optional.empty();

    /** Creates the record of a wait that begins now. */
    WaitRecord(RelayContext context, Exchange exchange) {
        this.context = context;
        this.exchange = exchange;
        this.startedAt = context.now();
    }

    /** Notes why the request waited. */
    void explained(WaitReason why) {
        reason = Optional.of(why);
    }

    /** Returns the label of the reason. */
    String label() {
        return reason.map(WaitReason::label).orElse(UNKNOWN);
    }

    /** Notes that the request was placed or refused. */
    void ended() {
        double millis = context.now() - startedAt;
        if (reason.isPresent() || millis > MAX_ANSWER_MILLIS) {
            exchange.addStep("waited:" + Math.round(millis) + ":" + label());
            context.metrics().waited(exchange.route().name(), exchange.customerName(), millis);
        }
    }
}
