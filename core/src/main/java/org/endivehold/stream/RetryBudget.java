package org.endivehold.stream;

/**
 * Bounds repeated attempts to a share of the first ones, so that retries cannot multiply a load that upstreams already
 * fail under. Each first attempt adds the ratio to the budget and each retry takes one; the budget starts with, and
 * never holds more than, {@link #RESERVE}.
 */
public final class RetryBudget {
    /** Retries that may be made at once after a quiet time. */
    public static final double RESERVE = 20;

    private final double ratio;
    private double left = RESERVE;

    /**
     * Creates a full budget.
     *
     * @param ratio retries allowed for each first attempt
     */
    public RetryBudget(double ratio) {
        this.ratio = ratio;
    }

    /** Counts a first attempt. */
    public void firstAttempt() {
        left = Math.min(RESERVE, left + ratio);
    }

    /**
     * Takes one retry.
     *
     * @return false if the budget is spent
     */
    public boolean take() {
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }
}
