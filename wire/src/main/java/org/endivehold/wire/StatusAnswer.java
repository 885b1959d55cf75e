package org.endivehold.wire;

/**
 * Response to {@link StatusQuery}: the status of a daemon.
 *
 * @param json the status as a JSON document
 */
public record StatusAnswer(String json) implements Message {}
