package org.endivehold.wire;

/**
 * Requests a daemon's status on behalf of an operator; answered by {@link StatusAnswer}.
 *
 * @param brief true to request only the part about the configuration in force
 */
public record StatusQuery(boolean brief) implements Message {}
