package org.endivehold.daemon.http;

import org.endivehold.error.ErrorType;

/** Maps error types to HTTP statuses. */
public final class HttpStatus {
    /** The request cannot be understood. */
    public static final int BAD_REQUEST = 400;
    /** No valid credentials. */
    public static final int UNAUTHORIZED = 401;
    /** Nothing has that name. */
    public static final int NOT_FOUND = 404;
    /** The body did not arrive in time. */
    public static final int REQUEST_TIMEOUT = 408;
    /** The request contradicts an earlier one. */
    public static final int CONFLICT = 409;
    /** The body is too large. */
    public static final int TOO_LARGE = 413;
    /** Well formed, but cannot be served as asked. */
    public static final int UNPROCESSABLE = 422;
    /** A limit is reached. */
    public static final int TOO_MANY = 429;
    /** A fault of this daemon. */
    public static final int INTERNAL = 500;
    /** The upstream failed. */
    public static final int BAD_GATEWAY = 502;
    /** Not now. */
    public static final int UNAVAILABLE = 503;
    /** The deadline passed. */
    public static final int GATEWAY_TIMEOUT = 504;

    private HttpStatus() {}

    /**
     * Returns the status for an error.
     *
     * @param type the error
     * @return an HTTP status from 400 to 599
     */
    public static int of(ErrorType type) {
        return switch (type) {
            case BAD_REQUEST,
                    BAD_JSON,
                    BAD_ENCODING,
                    BAD_DEADLINE,
                    IDEMPOTENCY_KEY_REQUIRED,
                    CONFIG_INVALID,
                    OPERATOR_REQUEST -> BAD_REQUEST;
            case UNAUTHENTICATED, OPERATOR_UNAUTHENTICATED -> UNAUTHORIZED;
            case UNKNOWN_MODEL, UNKNOWN_ROUTE, STREAM_UNKNOWN, REVISION_UNKNOWN, OBJECT_UNKNOWN -> NOT_FOUND;
            case BODY_TIMEOUT -> REQUEST_TIMEOUT;
            case LEDGER_IN_PROGRESS,
                    LEDGER_OUTCOME_UNKNOWN,
                    LEDGER_ANSWER_NOT_KEPT,
                    CONFIG_CONFLICT,
                    PUBLISH_ID_REUSED -> CONFLICT;
            case BODY_TOO_LARGE -> TOO_LARGE;
            case PROMPT_TOO_LONG, LEDGER_KEY_REUSED -> UNPROCESSABLE;
            case CUSTOMER_LIMIT, QUEUE_FULL -> TOO_MANY;
            case UPSTREAM_REFUSED, UPSTREAM_BROKEN, UPSTREAM_PROTOCOL, UPSTREAM_UNREACHABLE -> BAD_GATEWAY;
            case DEADLINE_EXCEEDED, UPSTREAM_TIMEOUT -> GATEWAY_TIMEOUT;
            case INTERNAL -> INTERNAL;
            default -> UNAVAILABLE;
        };
    }
}
