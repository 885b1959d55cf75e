package org.endivehold.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.RequestId;

/**
 * Writes failures as {@code application/problem+json} (RFC 9457) with the extension members {@code run}, {@code code}
 * and {@code request}.
 */
public final class Problem {
    /** Media type of a problem document. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:endivehold:error:";
    private static final long MILLIS_PER_SECOND = 1_000;

    private Problem() {}

    /**
     * Builds the problem document.
     *
     * @param failure the failure
     * @param request the id of the request that failed
     * @return a document with the members type, title, status, detail, run, code and request
     */
    public static JsonObject document(EndiveholdException failure, RequestId request) {
        ErrorType type = failure.type();
        return new JsonObject()
                .put("type", TYPE_PREFIX + type.label())
                .put("title", type.label())
                .put("status", HttpStatus.of(type))
                .put("detail", failure.getMessage())
                .put("run", failure.run().label())
                .put("code", type.code())
                .put("request", request.value());
    }

    /**
     * Sends a problem document as the response, unless the head was already sent or the connection is closed.
     *
     * @param response the response
     * @param failure the failure
     * @param request the id of the request that failed
     * @param retryAfterMillis time after which the caller should retry, in milliseconds; sent as {@code Retry-After},
     *     rounded up to whole seconds; 0 for no such header
     * @return completes when the response was written, or immediately if nothing can be sent
     */
    public static Future<Void> send(
            HttpServerResponse response, EndiveholdException failure, RequestId request, long retryAfterMillis) {
        if (response.ended() || response.closed() || response.headWritten()) {
            return Future.succeededFuture();
        }
        if (retryAfterMillis > 0) {
            response.putHeader("Retry-After", Long.toString(toSecondsRoundedUp(retryAfterMillis)));
        }
        return response.setStatusCode(HttpStatus.of(failure.type()))
                .putHeader("Content-Type", MEDIA_TYPE)
                .end(document(failure, request).toBuffer());
    }

    static long toSecondsRoundedUp(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }
}
