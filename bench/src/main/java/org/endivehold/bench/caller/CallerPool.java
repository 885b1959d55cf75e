package org.endivehold.bench.caller;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.endivehold.bench.fleet.Waiting;
import org.endivehold.bench.workload.Arrival;
import org.endivehold.bench.workload.PromptText;
import org.endivehold.bench.workload.Size;
import org.endivehold.bench.workload.Workload;
import org.endivehold.error.EndiveholdException;

/**
 * Open-loop load generator: sends each request of a workload when it is due, whether or not earlier ones have ended.
 */
public final class CallerPool implements AutoCloseable {
    private static final int EVENT_LOOPS = 3;
    private static final int MAX_CONNECTIONS = 4_096;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    private final List<Context> contexts = new ArrayList<>();
    private final HttpClient client;
    private final Balancer balancer;
    private final PromptText prompts;
    private final Size size;
    private final Queue<CallResult> results = new ConcurrentLinkedQueue<>();
    private final AtomicInteger sent = new AtomicInteger();
    private volatile long startNanos;

    /**
     * Creates the callers and their event loops.
     *
     * @param size site that provides the routes and API keys
     * @param balancer selects the daemon of each attempt
     * @param prompts generates the prompt texts
     */
    public CallerPool(Size size, Balancer balancer, PromptText prompts) {
        this.size = size;
        this.balancer = balancer;
        this.prompts = prompts;
        client = vertx.createHttpClient(
                new HttpClientOptions().setKeepAliveTimeout(5), new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
        for (int i = 0; i < EVENT_LOOPS; i++) {
            contexts.add(vertx.getOrCreateContext());
        }
    }

    /**
     * Starts to send a workload; returns at once.
     *
     * @param workload the requests to send
     */
    public void start(Workload workload) {
        startNanos = System.nanoTime();
        for (Arrival arrival : workload.arrivals()) {
            Context context = contexts.get(arrival.number() % contexts.size());
            context.runOnContext(ignored -> schedule(arrival));
        }
    }

    private void schedule(Arrival arrival) {
        long delay = Math.max(1, Math.round(arrival.atMillis() - elapsedMillis()));
        vertx.setTimer(delay, ignored -> {
            sent.incrementAndGet();
            new Call(this, arrival).start();
        });
    }

    /**
     * Returns the time since the workload started.
     *
     * @return milliseconds since {@link #start}
     */
    public double elapsedMillis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the number of requests sent so far.
     *
     * @return a count
     */
    public int sent() {
        return sent.get();
    }

    /**
     * Returns the results of the requests that have ended so far.
     *
     * @return a copy, in the order in which the requests ended
     */
    public List<CallResult> results() {
        return List.copyOf(results);
    }

    /**
     * Returns the number of requests that have ended so far.
     *
     * @return a count
     */
    public int ended() {
        return results.size();
    }

    void add(CallResult result) {
        results.add(result);
    }

    Vertx vertx() {
        return vertx;
    }

    HttpClient client() {
        return client;
    }

    Balancer balancer() {
        return balancer;
    }

    PromptText prompts() {
        return prompts;
    }

    Size size() {
        return size;
    }

    @Override
    public void close() throws EndiveholdException {
        Waiting.on(vertx.close());
    }
}
