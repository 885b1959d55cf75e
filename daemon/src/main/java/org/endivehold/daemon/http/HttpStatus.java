package org.endivehold.daemon.http;

import org.endivehold.error.ErrorType;

/** HTTP status codes in use, and the status code for each error type. */
public final class HttpStatus {
    /** The request is malformed. */
    public static final int BAD_REQUEST = 400;
    /** Valid credentials are missing. */
    public static final int UNAUTHORIZED = 401;
    /** The named resource does not exist. */
    public static final int NOT_FOUND = 404;
    /** The body did not arrive in time. */
    public static final int REQUEST_TIMEOUT = 408;
    /** The request conflicts with an earlier one. */
    public static final int CONFLICT = 409;
    /** The body exceeds the size limit. */
    public static final int TOO_LARGE = 413;
    /** The request is well formed, but cannot be processed. */
    public static final int UNPROCESSABLE = 422;
    /** A rate or queue limit is reached. */
    public static final int TOO_MANY = 429;
    /** Internal error of this daemon. */
    public static final int INTERNAL = 500;
    /** The upstream failed. */
    public static final int BAD_GATEWAY = 502;
    /** Temporarily unavailable; the caller may retry later. */
    public static final int UNAVAILABLE = 503;
    /** The deadline passed, or the upstream timed out. */
    public static final int GATEWAY_TIMEOUT = 504;

    private HttpStatus() {}

    /**
     * Returns the status code for an error type.
     *
     * @param type the error type
     * @return an HTTP status code from 400 to 599; 503 for types without a code of their own
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
            case UPSTREAM_REFUSED, UPSTREAM_BROKEN, UPSTREAM_PROTOCOL, UPSTREAM_UNREACHABLE, INVALID_ANSWER ->
                BAD_GATEWAY;
            case DEADLINE_EXCEEDED, UPSTREAM_TIMEOUT -> GATEWAY_TIMEOUT;
            case INTERNAL -> INTERNAL;
            default -> UNAVAILABLE;
        };
    }
}
