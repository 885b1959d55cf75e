package org.endivehold.relay.serve;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;

/** Counters and histograms of the serving path. */
public final class RelayMetrics {
    /** Bounds of the latency histograms. */
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(300),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(3),
        Duration.ofSeconds(10)
    };

    private final MeterRegistry registry;

    /** Creates the metrics in a registry. */
    public RelayMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** Counts an answered request by its outcome. */
    void answered(String route, String customer, int status, double millis) {
        Counter.builder("endivehold.requests")
                .tag("route", route)
                .tag("status", Integer.toString(status))
                .register(registry)
                .increment();
        record("endivehold.request.duration", route, customer, millis);
    }

    /** Records the time to the first event of a stream. */
    void firstEvent(String route, String customer, double millis) {
        record("endivehold.first.event", route, customer, millis);
    }

    /** Counts a repeat by its cause. */
    void repeated(String cause) {
        registry.counter("endivehold.repeats", "cause", cause).increment();
    }

    private void record(String name, String route, String customer, double millis) {
        Timer.builder(name)
                .tag("route", route)
                .tag("customer", customer)
                .serviceLevelObjectives(BUCKETS)
                .register(registry)
                .record(Duration.ofNanos((long) (millis * 1e6)));
    }
}
