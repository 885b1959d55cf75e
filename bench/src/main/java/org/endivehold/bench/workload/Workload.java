package org.endivehold.bench.workload;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.config.Configuration;
import org.endivehold.config.Upstream;
import org.endivehold.misc.CustomerName;

/**
 * All requests of an experiment. They are drawn before it starts, so that every policy gets the same requests.
 *
 * @param arrivals the requests, in order of time
 * @param millis duration of all phases in milliseconds
 */
public record Workload(List<Arrival> arrivals, long millis) {
    private static final double LARGE_SHARE = 0.7;
    private static final double DEFERRABLE_SHARE = 0.1;
    private static final double ONCE_SHARE = 0.05;
    private static final double QUERY_SHARE = 0.05;
    private static final long INTERACTIVE_DEADLINE_MILLIS = 10_000;
    private static final long DEFERRABLE_DEADLINE_MILLIS = 13_000;
    private static final long PLAIN_DEADLINE_MILLIS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Makes an unmodifiable copy of the requests. */
    public Workload {
        arrivals = List.copyOf(arrivals);
    }

    /**
     * Draws the requests of consecutive phases, with exponentially distributed times between arrivals.
     *
     * @param size site that provides the customers with most of the requests
     * @param configuration configuration with the other customers and the prefill rates of the engines
     * @param speed speed-up factor of the engines
     * @param seed seed of the random number generator
     * @param phases the phases
     * @return the workload
     */
    public static Workload draw(Size size, Configuration configuration, double speed, long seed, List<Phase> phases) {
        Sampler sampler = new Sampler(size, configuration, speed, seed);
        long from = 0;
        for (Phase phase : phases) {
            sampler.draw(phase, from);
            from += phase.millis();
        }
        return new Workload(sampler.arrivals, from);
    }

    /**
     * Returns the total prefill rate of the engines of a configuration.
     *
     * @param configuration the configuration
     * @param speed speed-up factor of the engines
     * @return tokens per second
     */
    public static double prefillRate(Configuration configuration, double speed) {
        return speed
                * configuration.upstreams().values().stream()
                        .filter(u -> u.kind() == Upstream.Kind.ENGINE)
                        .mapToLong(Upstream::prefillTokensPerSecond)
                        .sum();
    }

    /** Draws the requests; holds the random number generator and the requests drawn so far. */
    private static final class Sampler {
        private final UniformRandomProvider random;
        private final LengthMix lengths;
        private final List<String> largeCustomers;
        private final List<String> otherCustomers;
        private final double prefillRate;
        private final List<Arrival> arrivals = new ArrayList<>();
        private int number;

        Sampler(Size size, Configuration configuration, double speed, long seed) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            lengths = new LengthMix(random);
            largeCustomers = size.largeCustomers();
            otherCustomers = configuration.customers().keySet().stream()
                    .map(CustomerName::value)
                    .filter(name -> !largeCustomers.contains(name))
                    .toList();
            prefillRate = prefillRate(configuration, speed);
        }

        void draw(Phase phase, long from) {
            double perSecond = phase.load() * prefillRate / LengthMix.meanPromptTokens();
            double at = from + gap(perSecond);
            while (at < from + phase.millis()) {
                Arrival arrival = arrival((long) at, phase.name());
                if (arrival.promptTokens() <= phase.maxPromptTokens()) {
                    arrivals.add(arrival);
                }
                at += gap(perSecond);
            }
        }

        private double gap(double perSecond) {
            return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
        }

        private Arrival arrival(long at, String phase) {
            Arrival.Kind kind = kind();
            long prompt = kind.isGeneration() ? lengths.promptTokens() : 0;
            long deadline =
                    switch (kind) {
                        case INTERACTIVE -> INTERACTIVE_DEADLINE_MILLIS;
                        case DEFERRABLE -> DEFERRABLE_DEADLINE_MILLIS;
                        case ONCE, QUERY -> PLAIN_DEADLINE_MILLIS;
                    };
            number++;
            return new Arrival(number, at, kind, customer(), prompt, lengths.answerTokens(), deadline, phase);
        }

        private Arrival.Kind kind() {
            double draw = random.nextDouble();
            if (draw < ONCE_SHARE) {
                return Arrival.Kind.ONCE;
            }
            if (draw < ONCE_SHARE + QUERY_SHARE) {
                return Arrival.Kind.QUERY;
            }
            return draw < ONCE_SHARE + QUERY_SHARE + DEFERRABLE_SHARE
                    ? Arrival.Kind.DEFERRABLE
                    : Arrival.Kind.INTERACTIVE;
        }

        private String customer() {
            List<String> group = random.nextDouble() < LARGE_SHARE ? largeCustomers : otherCustomers;
            return group.get(random.nextInt(group.size()));
        }
    }
}
