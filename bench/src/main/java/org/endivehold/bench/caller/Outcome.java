package org.endivehold.bench.caller;

/** How a request ended, as its caller saw it. */
public enum Outcome {
    /** The whole right answer arrived. */
    SERVED,
    /** It was refused, and the refusal says that nothing ran. */
    REFUSED,
    /** It failed, and the failure says that it may have run or ran in part. */
    FAILED,
    /** The connection broke before the answer began. */
    BROKEN,
    /** The answer began and broke off, and could not be had elsewhere either. */
    CUT,
    /** The answer is not the one to this prompt, or not all of it. */
    WRONG,
    /** Nothing had ended when the deadline was over. */
    SILENT
}
