package org.endivehold.relay.serve;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import org.endivehold.http.InvalidAnswerException;
import org.endivehold.relay.limit.HeldBytes;

/** Counters and histograms of the serving path. */
public final class RelayMetrics {
    /** Upper bounds of the buckets of the latency histograms. */
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(300),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(3),
        Duration.ofSeconds(10)
    };

    private final DeferredMeters<?> meters;

    /** Creates the metrics; those of requests are registered when they are first recorded. */
    public RelayMetrics(DeferredMeters<?> meters, HeldBodies bodies) {
        this.meters = meters;
        heldBytes("requests", bodies.requests());
        heldBytes("responses", bodies.responses());
    }

    private void heldBytes(String kind, HeldBytes held) {
        meters.record(registry -> Gauge.builder("endivehold.held.bytes", held, bytes -> (double) bytes.heldBytes())
                .tag("kind", kind)
                .register(registry));
    }

    /** Counts an ended request and records its duration; the status is 0 if the caller closed the connection. */
    void requestEnded(String route, String customer, int status, double millis) {
        meters.record(registry -> {
            Counter.builder("endivehold.requests")
                    .tag("route", route)
                    .tag("status", Integer.toString(status))
                    .register(registry)
                    .increment();
            time(registry, "endivehold.request.duration", route, customer, millis);
        });
    }

    /** Records the time from a request's arrival to the first event of its stream. */
    void firstEvent(String route, String customer, double millis) {
        meters.record(registry -> time(registry, "endivehold.first.event", route, customer, millis));
    }

    /** Counts a retry by its cause. */
    void retried(String cause) {
        meters.record(registry ->
                registry.counter("endivehold.repeats", "cause", cause).increment());
    }

    /** Counts an answer that was invalid, by the part that made it so. */
    public void invalidAnswer(InvalidAnswerException invalid) {
        meters.record(registry -> registry.counter(
                        "endivehold.invalid.answers", "part", invalid.part().label())
                .increment());
    }

    /** Counts an offer of a request to another daemon, or a request that was sent by way of one, by its result. */
    void forwarded(String result) {
        meters.record(registry ->
                registry.counter("endivehold.forwarded", "result", result).increment());
    }

    /** Records the time for which a request waited for engines. */
    void waited(String route, String customer, double millis) {
        meters.record(registry -> time(registry, "endivehold.waiting", route, customer, millis));
    }

    /** Counts a request that got no engines, by the reason. */
    void notPlaced(String reason) {
        meters.record(registry ->
                registry.counter("endivehold.refusals", "reason", reason).increment());
    }

    /** Adds the engine time that a customer's request is predicted to need, when it is first submitted. */
    void shareRequested(String customer, double engineMillis) {
        meters.record(registry -> registry.counter("endivehold.share.requested", "customer", customer)
                .increment(engineMillis));
    }

    /** Adds the engine time that a customer's request is predicted to need, when it is sent to engines. */
    void shareReceived(String customer, double engineMillis) {
        meters.record(registry -> registry.counter("endivehold.share.received", "customer", customer)
                .increment(engineMillis));
    }

    private static void time(MeterRegistry registry, String name, String route, String customer, double millis) {
        Timer.builder(name)
                .tag("route", route)
                .tag("customer", customer)
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .register(registry)
                .record(Duration.ofNanos((long) (millis * 1e6)));
    }
}
