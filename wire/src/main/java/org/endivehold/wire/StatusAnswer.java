package org.endivehold.wire;

/**
 * The status of a daemon.
 *
 * @param json the status document
 */
public record StatusAnswer(String json) implements Message {}
