package org.endivehold.relay.schedule;

/**
 * Requests of one service with prompts of similar length: they compete for the same room, so if the first of them fits
 * nowhere, the next ones hardly do.
 */
record PromptGroup(String service, Length length) {
    /** Classes of prompt lengths. */
    enum Length {
        SHORT,
        MEDIUM,
        LONG
    }

    /** Longest prefill on one engine of a short prompt, in milliseconds, as for placements. */
    private static final double SHORT_PREFILL_MILLIS = 110;
    /** Longest prefill on one engine of a medium prompt, in milliseconds. */
    private static final double MEDIUM_PREFILL_MILLIS = 1_000;

    static PromptGroup of(WaitingRequest entry) {
        double prefill = entry.prefillMillis();
        Length length = prefill <= SHORT_PREFILL_MILLIS
                ? Length.SHORT
                : prefill <= MEDIUM_PREFILL_MILLIS ? Length.MEDIUM : Length.LONG;
        return new PromptGroup(entry.request().service(), length);
    }
}
