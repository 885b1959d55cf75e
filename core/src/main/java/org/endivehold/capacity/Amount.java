package org.endivehold.capacity;

/**
 * A quantity of an upstream's capacity.
 *
 * @param slots concurrent streams or calls, not negative
 * @param memoryTokens KV memory in tokens, not negative
 */
public record Amount(int slots, long memoryTokens) {
    /** No slots and no memory. */
    public static final Amount ZERO = new Amount(0, 0);

    /** Fails with an {@link IllegalArgumentException} if a component is negative. */
    public Amount {
        if (slots < 0 || memoryTokens < 0) {
            throw new IllegalArgumentException("negative amount: " + slots + ", " + memoryTokens);
        }
    }

    /**
     * Adds component by component; does not check for overflow.
     *
     * @param other another amount
     * @return the sum
     */
    public Amount plus(Amount other) {
        return new Amount(slots + other.slots, memoryTokens + other.memoryTokens);
    }

    /**
     * Subtracts component by component, down to zero.
     *
     * @param other another amount
     * @return the difference, with zero where it would be negative
     */
    public Amount minus(Amount other) {
        return new Amount(Math.max(0, slots - other.slots), Math.max(0, memoryTokens - other.memoryTokens));
    }

    /**
     * Takes the larger value of each component.
     *
     * @param other another amount
     * @return an amount that covers both
     */
    public Amount max(Amount other) {
        return new Amount(Math.max(slots, other.slots), Math.max(memoryTokens, other.memoryTokens));
    }

    /**
     * Takes the smaller value of each component.
     *
     * @param other another amount
     * @return an amount that both cover
     */
    public Amount min(Amount other) {
        return new Amount(Math.min(slots, other.slots), Math.min(memoryTokens, other.memoryTokens));
    }

    /**
     * Compares component by component.
     *
     * @param other another amount
     * @return true if each component is at least as large as the other's
     */
    public boolean covers(Amount other) {
        return slots >= other.slots && memoryTokens >= other.memoryTokens;
    }
}
