package org.endivehold.bench.workload;

/**
 * Part of a workload with a constant mean arrival rate.
 *
 * @param name name by which figures are grouped
 * @param millis duration in milliseconds
 * @param load prompt tokens that arrive per second before the filter, as a share of the total bare prefill rate of the
 *     engines
 * @param maxPromptTokens filter: longer prompts are dropped after the draw, which leaves the arrivals of the shorter
 *     ones unchanged
 */
public record Phase(String name, long millis, double load, long maxPromptTokens) {
    /** Name of the low-load phase before the surge. */
    public static final String QUIET = "quiet";

    /** Name of the phase whose figures are compared with the targets. */
    public static final String SURGE = "surge";

    /**
     * Creates a phase with prompts of all lengths.
     *
     * @param name name by which figures are grouped
     * @param millis duration in milliseconds
     * @param load prompt tokens per second as a share of the total bare prefill rate
     * @return the phase
     */
    public static Phase of(String name, long millis, double load) {
        return new Phase(name, millis, load, Long.MAX_VALUE);
    }
}
