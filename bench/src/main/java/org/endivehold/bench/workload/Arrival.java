package org.endivehold.bench.workload;

/**
 * One request of an experiment.
 *
 * @param number unique in the experiment
 * @param atMillis when it is due, in milliseconds from the start
 * @param kind what it asks for
 * @param customer who asks
 * @param promptTokens length of the prompt; 0 for a plain call
 * @param maxTokens length of the answer
 * @param deadlineMillis time until it must have ended, in milliseconds
 * @param phase part of the experiment that it belongs to
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
    /** What a request asks for. */
    public enum Kind {
        /** A generation for which a person waits. */
        INTERACTIVE,
        /** A generation that may wait. */
        DEFERRABLE,
        /** A plain call that must not run twice. */
        ONCE,
        /** A plain call that may run again. */
        QUERY;

        /**
         * Tells whether the request is a generation.
         *
         * @return false for a plain call
         */
        public boolean isGeneration() {
            return this == INTERACTIVE || this == DEFERRABLE;
        }
    }

    /**
     * Tells whether this is a short interactive prompt, the kind whose waiting is judged.
     *
     * @return true for 1k to 4k tokens
     */
    public boolean isShort() {
        return kind == Kind.INTERACTIVE && LengthBand.of(promptTokens) == LengthBand.K1_K4;
    }

    /**
     * Returns the key of a plain call.
     *
     * @return a text unique in the experiment
     */
    public String key() {
        return "call-" + number;
    }
}
