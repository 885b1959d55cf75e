package org.endivehold.bench.measure;

/**
 * An invariant that did not hold.
 *
 * @param invariant which
 * @param count how often
 * @param example one case
 */
public record Violation(String invariant, long count, String example) {}
