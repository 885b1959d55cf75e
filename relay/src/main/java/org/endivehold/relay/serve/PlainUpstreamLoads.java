package org.endivehold.relay.serve;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.state.Upstream;

/** Load of plain upstreams: this daemon's own requests, counted here, and those of others, as last reported. */
final class PlainUpstreamLoads {
    /** Age at which a load report no longer counts, in milliseconds; its weight falls to 0 until then. */
    private static final double STALE_MILLIS = 1_000;
    /** Added to the score of an upstream whose recent requests all failed, in units of requests. */
    private static final double FAILING_WEIGHT = 4;
    /** Added to the score of a cold upstream, in units of requests. */
    private static final double COLD_WEIGHT = 3;
    /** Largest random part of a score: keeps daemons that see equal loads from all choosing the same upstream. */
    private static final double JITTER_WEIGHT = 0.5;
    /** Shortest retry-after of a refused request, in milliseconds; up to as much again is added at random. */
    private static final int RETRY_AFTER_MILLIS = 150;

    private final Map<String, Integer> ownRequests = new HashMap<>();
    private final Map<String, ReportedLoad> lastReports = new HashMap<>();

    private record ReportedLoad(int others, double reportedAt) {}

    void sent(String upstream) {
        ownRequests.merge(upstream, 1, Integer::sum);
    }

    void ended(String upstream) {
        ownRequests.computeIfPresent(upstream, (id, count) -> count <= 1 ? null : count - 1);
    }

    void reported(String upstream, AnswerFacts.UpstreamLoad load, double now) {
        int others = load.running() + load.waiting() - ownRequests.getOrDefault(upstream, 0);
        lastReports.put(upstream, new ReportedLoad(Math.max(0, others), now));
    }

    /** Returns the score of an upstream, in units of requests; the lowest score is the best choice. */
    double score(Upstream upstream, UpstreamHealth health, UniformRandomProvider random, double now) {
        String id = upstream.id();
        ReportedLoad last = lastReports.get(id);
        double others = 0;
        if (last != null) {
            others = last.others() * Math.max(0, 1 - (now - last.reportedAt()) / STALE_MILLIS);
        }
        double load = ownRequests.getOrDefault(id, 0) + others;
        double cold = upstream.cold(now) ? COLD_WEIGHT : 0;
        return load * health.slowdown(id, now)
                + FAILING_WEIGHT * health.failureRate(id, now)
                + cold
                + JITTER_WEIGHT * random.nextDouble();
    }

    double retryAfterMillis(UniformRandomProvider random) {
        return RETRY_AFTER_MILLIS + random.nextInt(RETRY_AFTER_MILLIS);
    }
}
