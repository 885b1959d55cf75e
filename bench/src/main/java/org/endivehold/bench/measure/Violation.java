package org.endivehold.bench.measure;

/**
 * An invariant that was violated in a run.
 *
 * @param invariant name of the violated invariant
 * @param count number of cases; for leaked memory, tokens
 * @param example description of the first case, or a note on the count
 */
public record Violation(String invariant, long count, String example) {}
