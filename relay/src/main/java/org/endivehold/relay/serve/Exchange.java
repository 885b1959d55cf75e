package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.endivehold.error.ErrorType;
import org.endivehold.http.HeadRules;
import org.endivehold.http.InvalidAnswerException;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.RelayRoute;
import org.jboss.logging.Logger;

/**
 * One request of a caller, which may have come by way of another daemon, and the response to it.
 *
 * <p>The response ends at the latest at the route's timeout or shortly before the caller's own deadline, whichever is
 * earlier. It is ended once; later calls that write have no effect.
 */
final class Exchange implements EventFlow.Sink {
    /** Margin before the caller's deadline for the response to reach the caller, in milliseconds. */
    private static final long RESPONSE_MARGIN_MILLIS = 30;

    /** Status of a request that may have run. */
    private static final int BAD_GATEWAY = 502;

    private static final Logger log = Logger.getLogger(Exchange.class);

    private final RelayContext context;
    private final ResponseChannel channel;
    private final CallerRequestHead requestHead;
    private final double arrivedAt;
    private final Runnable onEnd;
    private final StringBuilder steps = new StringBuilder();
    private RelayRoute route;
    private Optional<Customer> customer = Optional.empty();
    private Runnable onCancel = () -> {};
    private long deadlineTimer = -1;
    private boolean responseBegun;
    private int streamStatus;
    private Buffer unwritten = Buffer.buffer();
    private boolean ended;
    private double firstEventMillis = -1;
    private double lastEventMillis;
    private double longestGapMillis;

    Exchange(RelayContext context, ResponseChannel channel, CallerRequestHead requestHead, Runnable onEnd) {
        this.context = context;
        this.channel = channel;
        this.requestHead = requestHead;
        this.arrivedAt = context.now();
        this.onEnd = onEnd;
        channel.onClosed(this::callerGone);
    }

    /** Sets the route, the customer and the action to run when the request ends early, and starts the timeout. */
    void admit(RelayRoute admittedRoute, Optional<Customer> requestCustomer, Runnable cancelAction) {
        route = admittedRoute;
        customer = requestCustomer;
        onCancel = cancelAction;
        if (!ended) {
            deadlineTimer = context.vertx().setTimer(Math.max(1, remainingMillis()), timer -> timedOut());
        }
    }

    CallerRequestHead requestHead() {
        return requestHead;
    }

    RelayRoute route() {
        return route;
    }

    Optional<Customer> customer() {
        return customer;
    }

    boolean ended() {
        return ended;
    }

    boolean responseBegun() {
        return responseBegun;
    }

    double elapsedMillis() {
        return context.now() - arrivedAt;
    }

    /** Returns the time since the last event, or since the arrival before the first event, in milliseconds. */
    double waitingMillis() {
        return firstEventMillis < 0 ? elapsedMillis() : elapsedMillis() - lastEventMillis;
    }

    /** Returns the time until the route's timeout or the caller's deadline, whichever is earlier, in milliseconds. */
    long remainingMillis() {
        double limit = route.timeoutMillis();
        if (requestHead.remainingMillis().isPresent()) {
            limit = Math.min(limit, (double) (requestHead.remainingMillis().getAsLong() - RESPONSE_MARGIN_MILLIS));
        }
        return (long) (limit - elapsedMillis());
    }

    /** Adds a step to the list that is logged when the request ends. */
    void addStep(String step) {
        if (steps.length() > 0) {
            steps.append(',');
        }
        steps.append(step);
    }

    /**
     * Sends an upstream's response to the caller, without hop-by-hop headers.
     *
     * @return completes when the response has been written, or will not be
     */
    Future<Void> respond(int status, MultiMap headers, Buffer body) {
        if (ended || failIfInvalid(status, headers)) {
            return Future.succeededFuture();
        }
        responseBegun = true;
        finish(status, "answered");
        return channel.respond(status, headers, body);
    }

    /** Ends the connection of a caller who does not read the response that was sent. */
    void abandonResponse() {
        channel.breakOff();
    }

    /** Writes the head of a streamed response; does nothing if it was written before. */
    void beginStream(int status, MultiMap headers) {
        if (ended || responseBegun || failIfInvalid(status, headers)) {
            return;
        }
        responseBegun = true;
        streamStatus = status;
        channel.beginStream(status, headers);
    }

    /**
     * Responds with a failure in place of a response that HTTP does not allow. Every reader of answers refuses such a
     * one, so this is a fault of the daemon itself.
     *
     * @return whether it did
     */
    private boolean failIfInvalid(int status, MultiMap headers) {
        Optional<InvalidAnswerException> violation = HeadRules.violation(status, headers);
        if (violation.isEmpty()) {
            return false;
        }
        context.recordInvalidAnswer(requestHead.attemptId(), "response", violation.get());
        onCancel.run();
        fail(BAD_GATEWAY, ErrorType.INVALID_ANSWER, 0);
        return true;
    }

    /** Adds an event to those that {@link #flushEvents} writes. */
    void writeEvent(Buffer bytes) {
        if (ended) {
            return;
        }
        if (firstEventMillis < 0) {
            firstEventMillis = elapsedMillis();
            context.metrics().firstEvent(route.name(), customerName(), firstEventMillis);
        } else {
            longestGapMillis = Math.max(longestGapMillis, elapsedMillis() - lastEventMillis);
        }
        lastEventMillis = elapsedMillis();
        unwritten.appendBuffer(bytes);
    }

    @Override
    public void flushEvents() {
        if (!ended && unwritten.length() > 0) {
            channel.writeEvents(unwritten);
            unwritten = Buffer.buffer();
        }
    }

    /**
     * Ends the stream as complete.
     *
     * @param rest bytes of the upstream after its last event, which are no event
     */
    void completeStream(Buffer rest) {
        if (ended) {
            return;
        }
        unwritten.appendBuffer(rest);
        flushEvents();
        finish(streamStatus, "complete");
        channel.endStream();
    }

    /** Responds with status 503: the request has not run and will not run, so that the caller may retry it. */
    void refuse(ErrorType type, double retryAfterMillis) {
        fail(503, type, retryAfterMillis);
    }

    /**
     * Responds with an error; once a stream has begun, closes the connection instead, so that it does not look
     * complete.
     */
    void fail(int status, ErrorType type, double retryAfterMillis) {
        if (ended) {
            return;
        }
        flushEvents();
        finish(status, type.label());
        if (responseBegun) {
            channel.breakOff();
        } else {
            channel.fail(status, type, retryAfterMillis);
        }
    }

    @Override
    public boolean isCongested() {
        return channel.isFull();
    }

    @Override
    public void onDrained(Runnable action) {
        channel.onDrained(action);
    }

    private void timedOut() {
        if (ended) {
            return;
        }
        addStep("timeout");
        onCancel.run();
        fail(504, ErrorType.DEADLINE_EXCEEDED, 0);
    }

    private void callerGone() {
        if (ended) {
            return;
        }
        finish(0, "caller-gone");
        onCancel.run();
    }

    private void finish(int status, String outcome) {
        ended = true;
        if (deadlineTimer >= 0) {
            context.vertx().cancelTimer(deadlineTimer);
        }
        double millis = elapsedMillis();
        context.metrics().requestEnded(route == null ? "-" : route.name(), customerName(), status, millis);
        LogEvent.of("request-ended")
                .with("request", requestHead.attemptId())
                .with("route", route == null ? null : route.name())
                .with("customer", customerName())
                .with("prompt", requestHead.promptTokens())
                .with("status", status)
                .with("outcome", outcome)
                .with("first_ms", Math.round(firstEventMillis))
                .with("gap_ms", Math.round(longestGapMillis))
                .with("ms", Math.round(millis))
                .with("steps", steps)
                .info(log);
        onEnd.run();
    }

    /** Returns the name of the customer; a dash if none is known. */
    String customerName() {
        return customer.map(Customer::name).orElse("-");
    }
}
