package org.endivehold.relay.serve;

import org.endivehold.relay.state.Upstream;

/** Is notified of the head of every answer of an upstream, also of refusals and of answers to commands. */
public interface UpstreamAnswerListener {
    /** An upstream answered; does nothing by default. */
    default void answered(Upstream upstream, AnswerFacts head) {}
}
