package org.endivehold.admission;

/**
 * Limits retries of calls to plain services to a fraction of the first attempts, so that retries cannot multiply an
 * overload.
 *
 * <p>Each first attempt adds the ratio to the balance, up to a maximum; each retry takes one. Example: with a ratio of
 * 0.2 and a full budget, ten retries are allowed at once, and then one for every five first attempts.
 */
public final class CallRetryBudget {
    private static final double MAX_BALANCE = 10.0;

    private final double ratio;
    private double balance = MAX_BALANCE;

    /**
     * Creates a full budget.
     *
     * @param ratio retries allowed per first attempt, such as 0.2
     */
    public CallRetryBudget(double ratio) {
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
        if (balance < 1.0) {
            return false;
        }
        balance -= 1.0;
        return true;
    }
}
