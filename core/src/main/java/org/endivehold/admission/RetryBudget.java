package org.endivehold.admission;

/**
 * Bounds retries to a fraction of the first attempts, so that retries cannot multiply an overload.
 *
 * <p>Each first attempt adds the ratio to the balance, up to a cap; each retry takes one. Example: with ratio 0.2 and
 * after a long quiet time, ten retries pass at once, and then one for every five first attempts.
 */
public final class RetryBudget {
    private static final double CAP = 10.0;

    private final double ratio;
    private double balance = CAP;

    /**
     * Creates a full budget.
     *
     * @param ratio retries allowed per first attempt
     */
    public RetryBudget(double ratio) {
        this.ratio = ratio;
    }

    /** Counts a first attempt. */
    public void firstAttempt() {
        balance = Math.min(CAP, balance + ratio);
    }

    /**
     * Takes one retry.
     *
     * @return false if the budget is spent
     */
    public boolean tryRetry() {
        if (balance < 1.0) {
            return false;
        }
        balance -= 1.0;
        return true;
    }
}
