package org.endivehold.relay.crash;

import java.util.Optional;

/**
 * Whether a request may be sent, by the traits of its prompt.
 *
 * @param verdict the decision
 * @param trait the trait that the decision is about; empty if none is barred
 */
public record Admission(Verdict verdict, Optional<RequestTrait> trait) {
    /** The possible decisions. */
    public enum Verdict {
        /** No trait is barred. */
        SEND,
        /** A trait is barred, and this request may try whether it still crashes upstreams. */
        TRY,
        /** A trait is barred. */
        REFUSE
    }
}
