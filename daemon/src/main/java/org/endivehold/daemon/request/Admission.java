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

/** Refuses at arrival the requests that cannot be served at all, and creates the queue entries of the others. */
final class Admission {
    private static final CustomerLimits NO_LIMITS = new CustomerLimits(Integer.MAX_VALUE, Integer.MAX_VALUE);

    private final GenerationResources resources;
    private final EngineSelector selector;
    private long arrivals;

    /**
     * Creates the admission checks.
     *
     * @param resources configuration and service times
     * @param selector gives the engines of a version
     */
    Admission(GenerationResources resources, EngineSelector selector) {
        this.resources = resources;
        this.selector = selector;
    }

    /**
     * Checks that the configured engines can serve a request, whatever is in use there now.
     *
     * @param run the request
     * @throws EndiveholdException of type {@code NO_CONFIGURATION}, {@code NO_UPSTREAM} or {@code PROMPT_TOO_LONG}
     */
    void check(GenerationRun run) throws EndiveholdException {
        Configuration configuration =
                resources.currentConfiguration().orElseThrow(() -> new EndiveholdException(ErrorType.NO_CONFIGURATION));
        EngineRequirements requirements = run.requirements();
        Collection<Upstream> engines =
                selector.servingEngines(requirements.version()).values();
        if (engines.isEmpty()) {
            throw new EndiveholdException(ErrorType.NO_UPSTREAM, requirements.version());
        }
        long memoryTokens = requirements.isLong() ? fleetMemory(engines) : largestMemory(engines);
        long maxTokens = Math.min(memoryTokens, contextTokens(configuration, requirements.version()));
        if (requirements.memoryTokens() > maxTokens) {
            long answerTokens = requirements.memoryTokens() - requirements.promptTokens();
            throw new EndiveholdException(
                    ErrorType.PROMPT_TOO_LONG, requirements.promptTokens(), Math.max(0, maxTokens - answerTokens));
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
     * Creates the queue entry of a request, and sets the run's latest start.
     *
     * @param run the request
     * @return its queue entry
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
                run.requirements().memoryTokens(),
                Math.max(1, weight),
                run.latestStart());
    }

    private long latestStart(GenerationRun run) {
        EngineRequirements requirements = run.requirements();
        double prefillRate = selector.fastestPrefillRate(
                selector.servingEngines(requirements.version()).values());
        long prefillTokens = requirements.promptTokens() - selector.longestCachedPrefix(requirements);
        long leastMillis = resources
                .serviceTimes()
                .leastMillis(prefillTokens, prefillRate, run.call().maxTokens());
        return run.call().deadlineAt() - leastMillis;
    }

    /**
     * Returns the limits of a customer.
     *
     * @param name the customer
     * @return its limits; no limits if it is not configured
     */
    CustomerLimits limits(CustomerName name) {
        return customer(name)
                .map(c -> new CustomerLimits(c.maxConcurrent(), c.maxQueued()))
                .orElse(NO_LIMITS);
    }

    private Optional<Customer> customer(CustomerName name) {
        return resources
                .currentConfiguration()
                .map(configuration -> configuration.customers().get(name));
    }
}
