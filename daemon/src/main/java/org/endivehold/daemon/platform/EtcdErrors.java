package org.endivehold.daemon.platform;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.Set;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * Converts error answers of the gateway, which carry an HTTP status and a gRPC code, to typed exceptions.
 *
 * <p>Client errors and the codes in {@link #NOT_APPLIED} mean that nothing was written. After any other server error
 * the outcome of a write is unknown: the service may have lost its leader after the write was proposed.
 */
final class EtcdErrors {
    private static final int INVALID_ARGUMENT = 3;
    private static final int NOT_FOUND = 5;
    private static final int ALREADY_EXISTS = 6;
    private static final int PERMISSION_DENIED = 7;
    private static final int RESOURCE_EXHAUSTED = 8;
    private static final int FAILED_PRECONDITION = 9;
    private static final int OUT_OF_RANGE = 11;
    private static final int UNIMPLEMENTED = 12;
    private static final int UNAUTHENTICATED = 16;
    private static final Set<Integer> NOT_APPLIED = Set.of(
            INVALID_ARGUMENT,
            NOT_FOUND,
            ALREADY_EXISTS,
            PERMISSION_DENIED,
            RESOURCE_EXHAUSTED,
            FAILED_PRECONDITION,
            OUT_OF_RANGE,
            UNIMPLEMENTED,
            UNAUTHENTICATED);

    private EtcdErrors() {}

    static EndiveholdException of(int status, Buffer answer, boolean mayWrite) {
        int code = 0;
        String message = "status " + status;
        try {
            JsonObject json = new JsonObject(answer);
            code = (int) EtcdJson.number(json, "code");
            message = json.getString("message", json.getString("error", message));
        } catch (RuntimeException e) {
            message = "status " + status + " without a readable reason";
        }
        if (status < 500 || NOT_APPLIED.contains(code)) {
            return new EndiveholdException(ErrorType.STORE_REFUSED, message);
        }
        return new EndiveholdException(mayWrite ? ErrorType.STORE_UNKNOWN : ErrorType.STORE_UNAVAILABLE, message);
    }
}
