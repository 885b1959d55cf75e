package org.endivehold.capacity;

/**
 * A quantity of an upstream's capacity.
 *
 * @param slots streams or calls at once, not negative
 * @param memoryTokens KV memory in tokens, not negative
 */
public record Amount(int slots, long memoryTokens) {
    /** Nothing. */
    public static final Amount ZERO = new Amount(0, 0);

    /** Checks that neither part is negative. */
    public Amount {
        if (slots < 0 || memoryTokens < 0) {
            throw new IllegalArgumentException("negative amount: " + slots + ", " + memoryTokens);
        }
    }

    /**
     * Adds.
     *
     * @param other another amount
     * @return the sum
     */
    public Amount plus(Amount other) {
        return new Amount(slots + other.slots, memoryTokens + other.memoryTokens);
    }

    /**
     * Subtracts, each part down to zero.
     *
     * @param other another amount
     * @return the difference, without negative parts
     */
    public Amount minus(Amount other) {
        return new Amount(Math.max(0, slots - other.slots), Math.max(0, memoryTokens - other.memoryTokens));
    }

    /**
     * Takes the larger of each part.
     *
     * @param other another amount
     * @return an amount that covers both
     */
    public Amount max(Amount other) {
        return new Amount(Math.max(slots, other.slots), Math.max(memoryTokens, other.memoryTokens));
    }

    /**
     * Takes the smaller of each part.
     *
     * @param other another amount
     * @return an amount that both cover
     */
    public Amount min(Amount other) {
        return new Amount(Math.min(slots, other.slots), Math.min(memoryTokens, other.memoryTokens));
    }

    /**
     * Compares part by part.
     *
     * @param other another amount
     * @return true if each part is at least that of the other
     */
    public boolean covers(Amount other) {
        return slots >= other.slots && memoryTokens >= other.memoryTokens;
    }
}
