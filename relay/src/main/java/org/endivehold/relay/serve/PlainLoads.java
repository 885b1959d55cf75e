package org.endivehold.relay.serve;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.state.Upstream;

/** Requests at plain upstreams: own ones exactly, those of others as the upstream last told. */
final class PlainLoads {
    /** Age at which a load that an upstream told says nothing any more, in milliseconds. */
    private static final double STALE_MILLIS = 1_000;
    /** Weight of an upstream's recent failures against its load. */
    private static final double FAILING_WEIGHT = 4;
    /** Weight of being cold against its load. */
    private static final double COLD_WEIGHT = 3;
    /** Largest random part of a score: daemons that see equal loads do not all choose alike. */
    private static final double TIE_WEIGHT = 0.5;
    /** Least time after which a refused caller may come back, in milliseconds. */
    private static final int RETRY_AFTER_MILLIS = 150;

    private final Map<String, Integer> own = new HashMap<>();
    private final Map<String, Told> told = new HashMap<>();

    private record Told(int others, double at) {}

    void sent(String upstream) {
        own.merge(upstream, 1, Integer::sum);
    }

    void ended(String upstream) {
        own.computeIfPresent(upstream, (id, count) -> count <= 1 ? null : count - 1);
    }

    void reported(String upstream, AnswerFacts.UpstreamLoad load, double now) {
        int others = load.running() + load.waiting() - own.getOrDefault(upstream, 0);
        told.put(upstream, new Told(Math.max(0, others), now));
    }

    double score(Upstream upstream, UpstreamHealth health, UniformRandomProvider random, double now) {
        String id = upstream.id();
        Told last = told.get(id);
        double others = 0;
        if (last != null) {
            others = last.others() * Math.max(0, 1 - (now - last.at()) / STALE_MILLIS);
        }
        double load = own.getOrDefault(id, 0) + others;
        double cold = upstream.cold(now) ? COLD_WEIGHT : 0;
        return load * health.pace(id, now)
                + FAILING_WEIGHT * health.failing(id, now)
                + cold
                + TIE_WEIGHT * random.nextDouble();
    }

    double retryAfterMillis(UniformRandomProvider random) {
        return RETRY_AFTER_MILLIS + random.nextInt(RETRY_AFTER_MILLIS);
    }
}
