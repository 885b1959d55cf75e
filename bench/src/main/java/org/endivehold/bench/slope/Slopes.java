package org.endivehold.bench.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.admission.AdmissionEntry;
import org.endivehold.admission.AdmissionQueue;
import org.endivehold.admission.CustomerLimits;
import org.endivehold.bench.slope.Slope.Point;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.config.ConfigurationWriter;
import org.endivehold.config.RequestClass;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;
import org.endivehold.placement.Candidate;
import org.endivehold.placement.LeastPredictedTime;
import org.endivehold.placement.PlacementRequest;

/** Microbenchmarks that measure how the cost of an operation grows with the number of its inputs. */
public final class Slopes {
    private static final int[] UPSTREAMS = {19, 200, 1_000};
    private static final int[] WAITING = {16, 128, 1_024};
    private static final int CUSTOMERS = 10;
    private static final CustomerLimits UNLIMITED = new CustomerLimits(Integer.MAX_VALUE, Integer.MAX_VALUE);
    private static final int[] OBJECTS = {100, 400, 1_600};

    private final Configuration example;
    private final Consumer<String> progress;

    /**
     * Creates the microbenchmarks.
     *
     * @param example configuration that is enlarged with copies of an upstream
     * @param progress receives one line per slope after the last measurement
     */
    public Slopes(Configuration example, Consumer<String> progress) {
        this.example = example;
        this.progress = progress;
    }

    /**
     * Measures all slopes.
     *
     * @return the slopes
     * @throws EndiveholdException if a measured operation fails
     */
    public List<Slope> measure() throws EndiveholdException {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(placementSlope());
        slopes.add(configurationSlope("configuration digest", c -> ConfigurationWriter.digest(c)));
        slopes.add(configurationSlope("configuration read and check", c -> {
            byte[] json = ConfigurationWriter.canonical(c);
            return ConfigurationReader.readDocument("bench", json).orThrow();
        }));
        slopes.add(admissionSlope());
        slopes.forEach(s -> progress.accept(s.toString()));
        return slopes;
    }

    private Slope placementSlope() throws EndiveholdException {
        List<Point> points = new ArrayList<>();
        for (int count : UPSTREAMS) {
            List<Candidate> candidates = candidates(count);
            LeastPredictedTime policy = new LeastPredictedTime(RandomSource.XO_RO_SHI_RO_128_PP.create(1));
            PlacementRequest request = new PlacementRequest(8_000, 100, RequestClass.INTERACTIVE, false);
            points.add(new Point(count, Stopwatch.micros(() -> policy.choose(request, candidates))));
        }
        return Slope.fit("placement decision", "upstreams", "microseconds", points);
    }

    private static List<Candidate> candidates(int count) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            UpstreamName name = new UpstreamName("engine-" + i);
            ZoneName zone = new ZoneName("zone-" + i % 3);
            candidates.add(new Candidate(name, zone, 8, 100_000, i % 7, i * 991L % 50_000, 40_000, 0, 1, true));
        }
        return candidates;
    }

    /** A measured operation on a configuration. */
    @FunctionalInterface
    private interface ConfigurationTask {
        Object run(Configuration configuration) throws EndiveholdException;
    }

    private Slope configurationSlope(String name, ConfigurationTask use) throws EndiveholdException {
        List<Point> points = new ArrayList<>();
        for (int count : OBJECTS) {
            Configuration grown = grow(count);
            points.add(new Point(count, Stopwatch.micros(() -> use.run(grown))));
        }
        return Slope.fit(name, "upstream objects", "microseconds", points);
    }

    private Configuration grow(int count) {
        Upstream template = example.upstreams().values().iterator().next();
        TreeMap<UpstreamName, Upstream> upstreams = new TreeMap<>(example.upstreams());
        for (int i = upstreams.size(); i < count; i++) {
            UpstreamName name = new UpstreamName("grown-" + i);
            upstreams.put(
                    name,
                    new Upstream(
                            name,
                            template.kind(),
                            template.zone(),
                            "10.1." + i / 250 + "." + (1 + i % 250),
                            template.port(),
                            template.state(),
                            Set.copyOf(template.versions()),
                            template.slots(),
                            template.coldSlots(),
                            template.memoryTokens(),
                            template.prefillTokensPerSecond(),
                            template.checksFencing()));
        }
        return new Configuration(
                example.models(),
                example.versions(),
                example.adapters(),
                example.routes(),
                example.customers(),
                example.zones(),
                upstreams);
    }

    private static Slope admissionSlope() throws EndiveholdException {
        List<Point> points = new ArrayList<>();
        for (int waiting : WAITING) {
            AdmissionQueue<Integer> queue = new AdmissionQueue<>(2 * waiting);
            for (int i = 0; i < waiting; i++) {
                queue.offer(entry(i), UNLIMITED, 0);
            }
            points.add(new Point(waiting, Stopwatch.micros(() -> {
                Optional<AdmissionEntry<Integer>> taken = queue.take(e -> true, 0);
                if (taken.isPresent()) {
                    queue.ended(taken.get().customer());
                    queue.offer(taken.get(), UNLIMITED, 0);
                }
                return taken;
            })));
        }
        return Slope.fit("admission, one taken and one offered", "waiting requests", "microseconds", points);
    }

    private static AdmissionEntry<Integer> entry(int number) {
        CustomerName customer = new CustomerName("customer-" + number % CUSTOMERS);
        return new AdmissionEntry<>(
                number, number, customer, RequestClass.INTERACTIVE, 1_000L + number % 7 * 4_000L, 1, Long.MAX_VALUE);
    }
}
