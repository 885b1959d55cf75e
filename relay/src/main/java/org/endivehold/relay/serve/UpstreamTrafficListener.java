package org.endivehold.relay.serve;

import org.endivehold.relay.state.Upstream;

/** Is notified of new work for upstreams and of their answers; does nothing by default. */
public interface UpstreamTrafficListener {
    /** New work is about to be sent to an upstream: a request, or a part of one. */
    default void sending(Upstream upstream) {}

    /**
     * The head of an answer has arrived, also of a refusal or of an answer to a command.
     *
     * @param upstream the upstream
     * @param head status and headers of the answer
     * @param sentAtMillis when the request was sent that it answers, by the daemon's clock
     */
    default void answered(Upstream upstream, AnswerFacts head, double sentAtMillis) {}
}
