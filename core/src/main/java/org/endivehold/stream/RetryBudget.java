package org.endivehold.stream;

/**
 * Limits retries of generation requests to a fraction of the first attempts, so that retries cannot multiply a load
 * under which upstreams already fail. Each first attempt adds the ratio to the balance and each retry takes one; the
 * balance starts at {@link #MAX_BALANCE} and never exceeds it.
 */
public final class RetryBudget {
    /** Number of retries that a full budget allows at once. */
    public static final double MAX_BALANCE = 20;

    private final double ratio;
    private double balance = MAX_BALANCE;

    /**
     * Creates a full budget.
     *
     * @param ratio retries allowed per first attempt, such as 0.25
     */
    public RetryBudget(double ratio) {
        this.ratio = ratio;
    }

    /** Counts a first attempt. */
    public void firstAttempt() {
        balance = Math.min(MAX_BALANCE, balance + ratio);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return false if the budget is spent and no retry may be made
     */
    public boolean tryRetry() {
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
