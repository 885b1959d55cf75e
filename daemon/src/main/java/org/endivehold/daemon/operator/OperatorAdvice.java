package org.endivehold.daemon.operator;

import org.endivehold.error.ErrorType;

/** Advice for operators on what to do after a failure. */
final class OperatorAdvice {
    private OperatorAdvice() {}

    static String of(ErrorType type) {
        return switch (type) {
            case CONFIG_INVALID -> "correct the listed faults; 'endivehold check DIR' lists them without publishing";
            case CONFIG_CONFLICT ->
                "run 'endivehold diff DIR', take the other operator's changes into your files, and publish again";
            case CONFIG_UNKNOWN_OUTCOME ->
                "publish again with the same publish id; it takes effect at most once and reports its revision";
            case PUBLISH_ID_REUSED -> "publish without a publish id, so that a new one is generated";
            case STORE_UNAVAILABLE, STORE_UNKNOWN, STORE_REFUSED ->
                "nothing was published; the daemons go on with what is in force; try again when the key-value service"
                        + " answers";
            case REVISION_UNKNOWN -> "run 'endivehold history' for the revisions that are kept";
            case OPERATOR_UNAUTHENTICATED -> "give the operators' token with --token-file";
            case OPERATOR_REQUEST -> "see 'endivehold help'";
            default -> "see the daemon's log for the event=error line of this code";
        };
    }
}
