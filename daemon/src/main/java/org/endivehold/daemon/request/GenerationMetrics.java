package org.endivehold.daemon.request;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.endivehold.misc.CustomerName;
import org.endivehold.placement.LengthBand;

/**
 * Histograms of generation requests by customer, class and length band. The first {@link #MAX_CUSTOMERS} customers have
 * labels of their own and all others share one, so that the number of time series is bounded.
 */
final class GenerationMetrics {
    /** Maximum number of customers with labels of their own. */
    static final int MAX_CUSTOMERS = 100;

    private static final String OTHER_CUSTOMERS_LABEL = "other";
    private static final long[] BUCKET_MILLIS = {10, 25, 50, 100, 200, 390, 800, 1_600, 5_000, 20_000, 60_000, 300_000};

    private final MeterRegistry meters;
    private final Set<CustomerName> labelledCustomers = new HashSet<>();

    /**
     * Creates the metrics; each histogram is registered when it is first recorded.
     *
     * @param meters registry of the histograms
     */
    GenerationMetrics(MeterRegistry meters) {
        this.meters = meters;
    }

    /**
     * Records the time from arrival to the first token.
     *
     * @param call the call
     * @param millis the time in milliseconds
     */
    void firstToken(GenerationCall call, long millis) {
        record("endivehold.generation.first.token", call, millis);
    }

    /**
     * Records the time from arrival to the start of the first attempt.
     *
     * @param call the call
     * @param millis the time in milliseconds
     */
    void queued(GenerationCall call, long millis) {
        record("endivehold.generation.queued", call, millis);
    }

    /**
     * Records the time from arrival to the end, and counts the outcome.
     *
     * @param call the call
     * @param outcome {@code complete}, {@code caller-gone} or the name of the error type, such as {@code queue-full}
     * @param millis the time in milliseconds
     */
    void ended(GenerationCall call, String outcome, long millis) {
        record("endivehold.generation.total", call, millis);
        meters.counter(
                        "endivehold.generation.ended",
                        "class",
                        call.route().requestClass().label(),
                        "outcome",
                        outcome)
                .increment();
    }

    private void record(String name, GenerationCall call, long millis) {
        Timer.builder(name)
                .tag("customer", label(call.customer()))
                .tag("class", call.route().requestClass().label())
                .tag("band", LengthBand.of(call.promptTokens()).label())
                .serviceLevelObjectives(buckets())
                .register(meters)
                .record(Duration.ofMillis(millis));
    }

    private String label(CustomerName customer) {
        if (labelledCustomers.size() < MAX_CUSTOMERS) {
            labelledCustomers.add(customer);
        }
        return labelledCustomers.contains(customer) ? customer.value() : OTHER_CUSTOMERS_LABEL;
    }

    private static Duration[] buckets() {
        Duration[] buckets = new Duration[BUCKET_MILLIS.length];
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = Duration.ofMillis(BUCKET_MILLIS[i]);
        }
        return buckets;
    }
}
