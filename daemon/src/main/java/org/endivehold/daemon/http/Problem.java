package org.endivehold.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.RequestId;

/** Writes failures as {@code application/problem+json} (RFC 9457) with the extra member {@code run}. */
public final class Problem {
    /** Media type of a failure. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:endivehold:error:";
    private static final long MILLIS_PER_SECOND = 1_000;

    private Problem() {}

    /**
     * Builds the document.
     *
     * @param failure the failure
     * @param request the request that failed
     * @return members type, title, status, detail, run, code, request
     */
    public static JsonObject document(EndiveholdException failure, RequestId request) {
        ErrorType type = failure.type();
        return new JsonObject()
                .put("type", TYPE_PREFIX + type.word())
                .put("title", type.word())
                .put("status", HttpStatus.of(type))
                .put("detail", failure.getMessage())
                .put("run", failure.run().word())
                .put("code", type.code())
                .put("request", request.value());
    }

    /**
     * Sends the document as a whole response. A {@code Retry-After} tells when to come back, in whole seconds.
     *
     * @param response a response of which nothing was sent
     * @param failure the failure
     * @param request the request that failed
     * @param retryAfterMillis advice in milliseconds, 0 for none
     * @return when the response has ended, or at once if it was sent before
     */
    public static Future<Void> send(
            HttpServerResponse response, EndiveholdException failure, RequestId request, long retryAfterMillis) {
        if (response.ended() || response.closed() || response.headWritten()) {
            return Future.succeededFuture();
        }
        if (retryAfterMillis > 0) {
            response.putHeader("Retry-After", Long.toString(secondsUp(retryAfterMillis)));
        }
        return response.setStatusCode(HttpStatus.of(failure.type()))
                .putHeader("Content-Type", MEDIA_TYPE)
                .end(document(failure, request).toBuffer());
    }

    static long secondsUp(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }
}
