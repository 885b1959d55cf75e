package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.RelayRoute;
import org.jboss.logging.Logger;

/**
 * One request of a caller and its answer.
 *
 * <p>The answer is final at the latest when the route's timeout or the caller's own deadline has passed. It is written
 * once; whoever writes after that writes nothing.
 */
final class Exchange {
    /** Time kept back from the caller's deadline for the way of the answer, in milliseconds. */
    private static final long ANSWER_MARGIN_MILLIS = 30;

    private static final Logger log = Logger.getLogger(Exchange.class);

    private final RelayContext context;
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final RequestFacts facts;
    private final double arrivedAt;
    private final Runnable whenEnded;
    private final StringBuilder story = new StringBuilder();
    private RelayRoute route;
    private Optional<Customer> customer = Optional.empty();
    private Runnable cancel = () -> {};
    private long deadlineTimer = -1;
    private boolean begun;
    private boolean ended;
    private double firstAt = -1;
    private double eventAt;
    private double longestGap;

    Exchange(RelayContext context, HttpServerRequest request, RequestFacts facts, Runnable whenEnded) {
        this.context = context;
        this.request = request;
        this.response = request.response();
        this.facts = facts;
        this.arrivedAt = context.now();
        this.whenEnded = whenEnded;
        response.closeHandler(gone -> callerGone());
        response.exceptionHandler(failure -> callerGone());
    }

    /** Sets what the configuration says and what to do if the request ends early; starts the clock. */
    void admit(RelayRoute admitted, Optional<Customer> holder, Runnable onCancel) {
        route = admitted;
        customer = holder;
        cancel = onCancel;
        if (!ended) {
            deadlineTimer = context.vertx().setTimer(Math.max(1, remainingMillis()), timer -> timedOut());
        }
    }

    RequestFacts facts() {
        return facts;
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

    boolean begun() {
        return begun;
    }

    double elapsedMillis() {
        return context.now() - arrivedAt;
    }

    /** Returns how long the caller has waited for the next event, or for the first. */
    double waitingMillis() {
        return firstAt < 0 ? elapsedMillis() : elapsedMillis() - eventAt;
    }

    /** Returns what is left of the caller's and the route's time. */
    long remainingMillis() {
        double limit = route.timeoutMillis();
        if (facts.remainingMillis().isPresent()) {
            limit = Math.min(limit, (double) (facts.remainingMillis().getAsLong() - ANSWER_MARGIN_MILLIS));
        }
        return (long) (limit - elapsedMillis());
    }

    /** Notes a decision for the line that is logged at the end. */
    void note(String word) {
        if (story.length() > 0) {
            story.append(',');
        }
        story.append(word);
    }

    /** Answers with an upstream's own answer. */
    void answer(int status, MultiMap headers, Buffer body) {
        if (ended) {
            return;
        }
        begun = true;
        response.setStatusCode(status);
        copy(ConnectionHeaders.strip(headers));
        finish(status, "answered");
        response.end(body);
    }

    /** Begins to pass on a stream. */
    void begin(int status, MultiMap headers) {
        if (ended || begun) {
            return;
        }
        begun = true;
        response.setStatusCode(status);
        copy(ConnectionHeaders.strip(headers));
        response.setChunked(true);
    }

    void event(Buffer bytes) {
        if (ended) {
            return;
        }
        if (firstAt < 0) {
            firstAt = elapsedMillis();
            context.metrics().firstEvent(route.name(), customerName(), firstAt);
        } else {
            longestGap = Math.max(longestGap, elapsedMillis() - eventAt);
        }
        eventAt = elapsedMillis();
        response.write(bytes);
    }

    void complete() {
        if (ended) {
            return;
        }
        finish(response.getStatusCode(), "complete");
        response.end();
    }

    /** Refuses a request that has not run and will not run; the caller may come back. */
    void refuse(ErrorType type, double retryAfterMillis) {
        fail(503, type, retryAfterMillis);
    }

    /** Ends with a failure of this system; a stream that has begun is broken off. */
    void fail(int status, ErrorType type, double retryAfterMillis) {
        if (ended) {
            return;
        }
        finish(status, type.word());
        if (begun) {
            request.connection().close();
            return;
        }
        response.setStatusCode(status);
        response.putHeader("content-type", "application/json");
        if (retryAfterMillis > 0) {
            response.putHeader("retry-after", String.format(Locale.ROOT, "%.2f", retryAfterMillis / 1000));
        }
        response.end("{\"error\":\"" + type.word() + "\"}");
    }

    private void timedOut() {
        if (ended) {
            return;
        }
        note("timeout");
        cancel.run();
        fail(504, ErrorType.DEADLINE_EXCEEDED, 0);
    }

    private void callerGone() {
        if (ended) {
            return;
        }
        finish(0, "caller-gone");
        cancel.run();
    }

    private void copy(MultiMap headers) {
        for (Map.Entry<String, String> header : headers) {
            response.headers().add(header.getKey(), header.getValue());
        }
    }

    private void finish(int status, String outcome) {
        ended = true;
        if (deadlineTimer >= 0) {
            context.vertx().cancelTimer(deadlineTimer);
        }
        double millis = elapsedMillis();
        context.metrics().answered(route == null ? "-" : route.name(), customerName(), status, millis);
        LogEvent.of("request-ended")
                .with("request", facts.attempt())
                .with("route", route == null ? null : route.name())
                .with("customer", customerName())
                .with("prompt", facts.promptTokens())
                .with("status", status)
                .with("outcome", outcome)
                .with("first_ms", Math.round(firstAt))
                .with("gap_ms", Math.round(longestGap))
                .with("ms", Math.round(millis))
                .with("steps", story)
                .info(log);
        whenEnded.run();
    }

    private String customerName() {
        return customer.map(Customer::name).orElse("-");
    }
}
