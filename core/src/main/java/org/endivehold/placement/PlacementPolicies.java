package org.endivehold.placement;

import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Creates placement policies by the name that settings give. */
public final class PlacementPolicies {
    private PlacementPolicies() {}

    /**
     * Creates a policy.
     *
     * @param name name of the policy
     * @param random source of random numbers for ties
     * @return a new policy
     * @throws EndiveholdException of type {@code SETTINGS_INVALID} if no policy has that name
     */
    public static PlacementPolicy create(String name, UniformRandomProvider random) throws EndiveholdException {
        return switch (name) {
            case RoundRobin.NAME -> new RoundRobin();
            case LeastOutstanding.NAME -> new LeastOutstanding(random);
            case LeastPredictedTime.NAME -> new LeastPredictedTime(random);
            default ->
                throw new EndiveholdException(
                        ErrorType.SETTINGS_INVALID, "/placement/policy", "no policy is named " + name);
        };
    }
}
