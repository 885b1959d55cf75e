package org.endivehold.standin.engine;

import org.endivehold.upstream.protocol.ErrorBody;

/** Thrown when the engine refuses a request; the work was not started. */
final class EngineRefusal extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorBody.Code code;

    EngineRefusal(ErrorBody.Code code, String message) {
        super(message);
        this.code = code;
    }

    ErrorBody body() {
        return ErrorBody.notStarted(code, getMessage());
    }

    int status() {
        return switch (code) {
            case MALFORMED -> 400;
            case NOT_FOUND -> 404;
            case FENCED -> 409;
            default -> 503;
        };
    }
}
