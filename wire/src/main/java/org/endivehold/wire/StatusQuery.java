package org.endivehold.wire;

/**
 * Asks a daemon for its status on behalf of an operator; answered by {@link StatusAnswer}.
 *
 * @param brief whether only the configuration in force is wanted
 */
public record StatusQuery(boolean brief) implements Message {}
