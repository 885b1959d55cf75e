package org.endivehold.bench.caller;

/** How a request ended, from the caller's point of view. */
public enum Outcome {
    /** The complete and correct answer arrived. */
    SERVED,
    /** The request was refused, and the refusal states that it did not run. */
    REFUSED,
    /** The request failed, and the error states that it may have run in full or in part. */
    FAILED,
    /** The connection failed before the answer began. */
    BROKEN,
    /** The answer was cut off, and the rest could not be fetched through another daemon. */
    CUT,
    /** The answer is malformed, incomplete without an error, or differs from the one expected for this prompt. */
    WRONG,
    /** The request had not ended 1 s after its deadline. */
    SILENT
}
