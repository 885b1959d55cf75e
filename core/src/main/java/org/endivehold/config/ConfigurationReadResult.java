package org.endivehold.config;

import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * Result of reading and validating a configuration.
 *
 * @param configuration the objects that are well-formed, even if there are faults
 * @param faults every fault found; empty if the configuration may be published
 */
public record ConfigurationReadResult(Configuration configuration, List<ConfigurationFault> faults) {
    private static final int MAX_FAULTS_IN_MESSAGE = 20;

    /**
     * Returns the configuration if it has no fault.
     *
     * @return the configuration
     * @throws EndiveholdException of type {@code CONFIG_INVALID} that lists the first faults and their total
     */
    public Configuration orThrow() throws EndiveholdException {
        if (faults.isEmpty()) {
            return configuration;
        }
        List<String> lines = faults.stream()
                .limit(MAX_FAULTS_IN_MESSAGE)
                .map(ConfigurationFault::toString)
                .toList();
        throw new EndiveholdException(ErrorType.CONFIG_INVALID, faults.size() + " faults: " + String.join("; ", lines));
    }
}
