package org.endivehold.daemon.request;

import java.util.Collection;
import java.util.Optional;
import org.endivehold.admission.AdmissionEntry;
import org.endivehold.admission.CustomerLimits;
import org.endivehold.config.Configuration;
import org.endivehold.config.Customer;
import org.endivehold.config.Model;
import org.endivehold.config.Upstream;
import org.endivehold.config.Version;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.VersionName;

/** Refuses at arrival what cannot be served at all, and describes the rest to the queue. */
final class Admission {
    private static final CustomerLimits NO_LIMITS = new CustomerLimits(Integer.MAX_VALUE, Integer.MAX_VALUE);

    private final GenerationResources resources;
    private final EngineSelector selector;
    private long arrivals;

    /**
     * Creates the checks.
     *
     * @param resources configuration and service times
     * @param selector knows the engines
     */
    Admission(GenerationResources resources, EngineSelector selector) {
        this.resources = resources;
        this.selector = selector;
    }

    /**
     * Checks that the fleet as configured can serve a request.
     *
     * @param run the request
     * @throws EndiveholdException of type {@code NO_CONFIGURATION}, {@code NO_UPSTREAM} or {@code PROMPT_TOO_LONG}
     */
    void check(GenerationRun run) throws EndiveholdException {
        Configuration configuration =
                resources.objects().orElseThrow(() -> new EndiveholdException(ErrorType.NO_CONFIGURATION));
        EngineNeed need = run.need();
        Collection<Upstream> engines = selector.serving(need.version()).values();
        if (engines.isEmpty()) {
            throw new EndiveholdException(ErrorType.NO_UPSTREAM, need.version());
        }
        long memory = need.isLong() ? fleetMemory(engines) : largestMemory(engines);
        long most = Math.min(memory, contextTokens(configuration, need.version()));
        if (need.memoryTokens() > most) {
            long answer = need.memoryTokens() - need.promptTokens();
            throw new EndiveholdException(ErrorType.PROMPT_TOO_LONG, need.promptTokens(), Math.max(0, most - answer));
        }
    }

    private static long fleetMemory(Collection<Upstream> engines) {
        return engines.stream().mapToLong(Upstream::memoryTokens).sum();
    }

    private static long largestMemory(Collection<Upstream> engines) {
        return engines.stream().mapToLong(Upstream::memoryTokens).max().orElse(0);
    }

    private static long contextTokens(Configuration configuration, VersionName name) {
        Version version = configuration.versions().get(name);
        Model model = version == null ? null : configuration.models().get(version.model());
        return model == null ? Long.MAX_VALUE : model.maxContextTokens();
    }

    /**
     * Describes a request to the queue.
     *
     * @param run the request
     * @return its entry
     */
    AdmissionEntry<GenerationRun> entry(GenerationRun run) {
        GenerationCall call = run.call();
        run.latestStart(latestStart(run));
        int weight = customer(call.customer()).map(Customer::weight).orElse(1);
        return new AdmissionEntry<>(
                run,
                ++arrivals,
                call.customer(),
                call.route().requestClass(),
                run.need().memoryTokens(),
                Math.max(1, weight),
                run.latestStart());
    }

    private long latestStart(GenerationRun run) {
        EngineNeed need = run.need();
        double rate = selector.fastestRate(selector.serving(need.version()).values());
        long prefill = need.promptTokens() - selector.mostCached(need);
        long least = resources.times().leastMillis(prefill, rate, run.call().maxTokens());
        return run.call().deadlineAt() - least;
    }

    /**
     * Returns the bounds of a customer.
     *
     * @param name the customer
     * @return its bounds
     */
    CustomerLimits limits(CustomerName name) {
        return customer(name)
                .map(c -> new CustomerLimits(c.maxConcurrent(), c.maxQueued()))
                .orElse(NO_LIMITS);
    }

    private Optional<Customer> customer(CustomerName name) {
        return resources.objects().map(all -> all.customers().get(name));
    }
}
