package org.endivehold.bench.workload;

/**
 * A request of a workload.
 *
 * @param number sequence number, unique in the workload
 * @param atMillis time at which it is due, in milliseconds from the start of the workload
 * @param kind kind of request
 * @param customer customer that sends it
 * @param promptTokens length of the prompt in tokens; 0 for a plain call
 * @param maxTokens length of the answer in tokens; unused for a plain call
 * @param deadlineMillis deadline, in milliseconds from when it is sent
 * @param phase name of the phase that it belongs to
 */
public record Arrival(
        int number,
        long atMillis,
        Kind kind,
        String customer,
        long promptTokens,
        int maxTokens,
        long deadlineMillis,
        String phase) {
    /** Kind of a request. */
    public enum Kind {
        /** A generation for which a user is waiting. */
        INTERACTIVE,
        /** A generation that may be deferred. */
        DEFERRABLE,
        /** A non-idempotent plain call, which must run at most once. */
        ONCE,
        /** An idempotent plain call, which may run again. */
        QUERY;

        /**
         * Returns whether the request is a generation.
         *
         * @return false for a plain call
         */
        public boolean isGeneration() {
            return this == INTERACTIVE || this == DEFERRABLE;
        }
    }

    /**
     * Returns whether this is a short interactive prompt, the kind used for the blocking ratio.
     *
     * @return true for an interactive prompt of up to 4,096 tokens
     */
    public boolean isShort() {
        return kind == Kind.INTERACTIVE && LengthBand.of(promptTokens) == LengthBand.K1_K4;
    }

    /**
     * Returns the idempotency key of a plain call.
     *
     * @return a key that is unique in the workload
     */
    public String key() {
        return "call-" + number;
    }
}
