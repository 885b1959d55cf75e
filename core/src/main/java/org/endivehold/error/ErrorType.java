package org.endivehold.error;

/**
 * Every kind of failure that this project reports, with a code, a severity and a message template.
 *
 * <p>Codes do not change between releases; each subsystem has a block of one hundred.
 */
public enum ErrorType {
    // General.
    INTERNAL(1, Severity.ERROR, "internal error: %s"),
    SERVICE_MISSING(2, Severity.ERROR, "no service is named %s"),
    SERVICE_CYCLE(3, Severity.ERROR, "services need each other in a cycle: %s"),
    SETTINGS_INVALID(4, Severity.ERROR, "settings at %s: %s"),
    SHUTTING_DOWN(5, Severity.INFO, "this daemon is shutting down"),

    // Callers, from 100.
    BAD_REQUEST(100, Severity.INFO, "malformed request: %s"),
    BAD_JSON(101, Severity.INFO, "the body is not valid JSON: %s"),
    BAD_ENCODING(102, Severity.INFO, "the body is not valid UTF-8"),
    UNAUTHENTICATED(103, Severity.INFO, "no valid API key was given"),
    UNKNOWN_MODEL(104, Severity.INFO, "no route serves the model %s"),
    UNKNOWN_ROUTE(105, Severity.INFO, "no route matches %s"),
    BODY_TOO_LARGE(106, Severity.INFO, "the body exceeds %s bytes"),
    BAD_DEADLINE(107, Severity.INFO, "the deadline %s is not between 1 and %s milliseconds"),
    IDEMPOTENCY_KEY_REQUIRED(108, Severity.INFO, "this route needs an Idempotency-Key header"),
    BODY_TIMEOUT(109, Severity.INFO, "the body did not arrive within %s milliseconds"),
    PROMPT_TOO_LONG(110, Severity.INFO, "the prompt has %s tokens; the longest that can be served has %s"),
    BUFFERS_FULL(111, Severity.WARNING, "the daemon's buffers are full"),

    // Admission and placement, from 200.
    NO_CONFIGURATION(200, Severity.WARNING, "no configuration is in force yet"),
    DEADLINE_UNREACHABLE(201, Severity.INFO, "the answer cannot be finished before the deadline"),
    DEADLINE_EXCEEDED(202, Severity.INFO, "the deadline passed before the answer was finished"),
    QUEUE_FULL(203, Severity.INFO, "the queue of class %s is full"),
    CUSTOMER_LIMIT(204, Severity.INFO, "the customer %s has reached its limit of %s"),
    NO_UPSTREAM(205, Severity.WARNING, "no upstream can serve %s now"),
    RETRIES_EXHAUSTED(206, Severity.WARNING, "the retry budget is spent after %s attempts"),
    REQUEST_BARRED(207, Severity.WARNING, "upstreams end when they serve requests with %s"),

    // Upstreams, from 300.
    UPSTREAM_REFUSED(300, Severity.INFO, "upstream %s refused the request: %s"),
    UPSTREAM_UNREACHABLE(301, Severity.WARNING, "upstream %s cannot be reached"),
    UPSTREAM_BROKEN(302, Severity.WARNING, "upstream %s ended its response early"),
    UPSTREAM_PROTOCOL(303, Severity.ERROR, "upstream %s violated its protocol: %s"),
    UPSTREAM_TIMEOUT(304, Severity.WARNING, "upstream %s did not answer within %s milliseconds"),
    STREAM_UNKNOWN(305, Severity.INFO, "no stream is named %s"),
    ORDER_FENCED(306, Severity.WARNING, "upstream %s refused an order with old epoch %s"),
    INVALID_ANSWER(307, Severity.WARNING, "the answer has an invalid %s: %s"),

    // Platform, from 400.
    STORE_UNAVAILABLE(400, Severity.WARNING, "the key-value service refused the call or did not answer: %s"),
    STORE_UNKNOWN(401, Severity.WARNING, "the key-value service may have taken the call: %s"),
    STORE_REFUSED(402, Severity.WARNING, "the key-value service refused the call: %s"),
    LEASE_LOST(403, Severity.WARNING, "the lease %s has expired"),
    STORE_HISTORY_GONE(405, Severity.INFO, "the history after revision %s is no longer kept"),

    // Configuration, from 500.
    CONFIG_INVALID(500, Severity.INFO, "%s"),
    CONFIG_CONFLICT(501, Severity.INFO, "another publish came first: %s"),
    CONFIG_DIGEST(502, Severity.ERROR, "revision %s does not match its digest"),
    CONFIG_UNKNOWN_OUTCOME(503, Severity.WARNING, "the outcome of publish %s is unknown"),
    PUBLISH_ID_REUSED(504, Severity.INFO, "publish %s was used with another configuration"),
    REVISION_UNKNOWN(505, Severity.INFO, "revision %s is not kept"),
    OPERATOR_UNAUTHENTICATED(506, Severity.INFO, "no valid operators' token was given"),
    OPERATOR_REQUEST(507, Severity.INFO, "malformed operators' request: %s"),
    DAEMON_UNREACHABLE(508, Severity.WARNING, "no daemon answers: %s"),
    OBJECT_UNKNOWN(509, Severity.INFO, "no %s is called %s"),

    // Peers and grants, from 600.
    PEER_UNREACHABLE(600, Severity.WARNING, "peer %s cannot be reached"),
    PEER_PROTOCOL(601, Severity.WARNING, "peer %s violated the protocol: %s"),
    PEER_VERSION(602, Severity.WARNING, "peer %s speaks unknown protocol version %s"),
    PEER_TIMEOUT(603, Severity.WARNING, "peer %s did not answer within %s milliseconds"),
    GRANT_FENCED(604, Severity.INFO, "epoch %s of group %s is fenced by epoch %s"),
    RESERVATION_REFUSED(605, Severity.INFO, "no reservation of %s tokens is possible now"),

    // Ledger, from 700.
    LEDGER_IN_PROGRESS(700, Severity.INFO, "a call with this key is in progress"),
    LEDGER_OUTCOME_UNKNOWN(701, Severity.WARNING, "the outcome of the call with this key is unknown"),
    LEDGER_KEY_REUSED(702, Severity.INFO, "this key was used with another body"),
    LEDGER_UNAVAILABLE(703, Severity.WARNING, "the call cannot be claimed now"),
    LEDGER_ANSWER_NOT_KEPT(
            704, Severity.INFO, "the call with this key ran with status %s; its answer was too large to be recorded");

    private final int code;
    private final Severity severity;
    private final String template;

    ErrorType(int code, Severity severity, String template) {
        this.code = code;
        this.severity = severity;
        this.template = template;
    }

    /**
     * Returns the code of this error, which does not change between releases.
     *
     * @return a positive number
     */
    public int code() {
        return code;
    }

    /**
     * Returns the severity of the error.
     *
     * @return the severity, which determines the log level
     */
    public Severity severity() {
        return severity;
    }

    /**
     * Formats the message template.
     *
     * @param args values for the template, in order
     * @return the message
     */
    public String message(Object... args) {
        return String.format(java.util.Locale.ROOT, template, args);
    }

    /**
     * Returns the name of this error in answers and logs.
     *
     * @return the constant's name in lower case with hyphens, such as {@code queue-full}
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
