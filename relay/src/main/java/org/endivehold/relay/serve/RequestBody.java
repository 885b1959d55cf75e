package org.endivehold.relay.serve;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.limit.HeldBytes;

/**
 * The body of a caller's request. It is held in memory until the request ends, since it may be sent more than once; so
 * a request is refused, as it has not run, if its body does not fit beside those of the others.
 */
final class RequestBody {
    /** Shortest retry-after of a request whose body does not fit, in milliseconds; up to as much is added at random. */
    private static final int RETRY_AFTER_MILLIS = 500;

    private final RelayContext context;
    private final HeldBytes.Share held;
    private Exchange exchange;
    private Buffer bytes = Buffer.buffer();

    RequestBody(RelayContext context) {
        this.context = context;
        held = context.bodies().requests().open(this::refuse);
    }

    /**
     * Reads the body, unless the request is refused.
     *
     * @param request the request, of which nothing has been read but its head
     * @param response the response to it
     * @param maxBytes longest body that is accepted, in bytes
     * @param whenRead gets the body
     */
    void read(HttpServerRequest request, Exchange response, int maxBytes, Consumer<Buffer> whenRead) {
        exchange = response;
        request.handler(part -> {
            if (!exchange.ended()) {
                add(part, maxBytes);
            }
        });
        request.endHandler(read -> {
            held.pin();
            whenRead.accept(bytes);
        });
        if (!context.bodies().requests().fits(declaredBytes(request))) {
            refuse();
        }
    }

    /** Lets go of the bytes: the request has ended. */
    void release() {
        held.close();
        bytes = Buffer.buffer();
    }

    private void add(Buffer part, int maxBytes) {
        bytes.appendBuffer(part);
        boolean fits = held.set(bytes.length());
        if (fits && bytes.length() > maxBytes) {
            exchange.fail(413, ErrorType.BODY_TOO_LARGE, 0);
        }
    }

    private void refuse() {
        exchange.addStep("buffers-full:" + context.bodies().requests().heldBytes());
        exchange.refuse(
                ErrorType.BUFFERS_FULL, RETRY_AFTER_MILLIS + context.random().nextInt(RETRY_AFTER_MILLIS));
    }

    /** Returns the length that the head announces; 0 if there is none. */
    private static long declaredBytes(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return 0; // The HTTP decoder rejects such a request by itself.
        }
    }
}
