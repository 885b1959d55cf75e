package org.endivehold.bench.workload;

/**
 * A part of an experiment with a steady rate of arrivals.
 *
 * @param name what figures are grouped by
 * @param millis duration in milliseconds
 * @param load prompt tokens that arrive, as a share of the bare prefill rate of all engines, before any filter
 * @param longestPrompt longer prompts are left out, so that the shorter ones arrive as they would with them
 */
public record Phase(String name, long millis, double load, long longestPrompt) {
    /** Name of the phase before the surge. */
    public static final String QUIET = "quiet";

    /** Name of the phase whose figures count. */
    public static final String SURGE = "surge";

    /**
     * Makes a phase with prompts of all lengths.
     *
     * @param name what figures are grouped by
     * @param millis duration in milliseconds
     * @param load share of the bare prefill rate
     * @return the phase
     */
    public static Phase of(String name, long millis, double load) {
        return new Phase(name, millis, load, Long.MAX_VALUE);
    }
}
