package org.endivehold.wire;

/** Asks a daemon for its status on behalf of an operator; answered by {@link StatusAnswer}. */
public record StatusQuery() implements Message {}
