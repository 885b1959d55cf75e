package org.endivehold.wire;

/** Asks a neighbour which grantors it knows. */
public record GrantorsRequest() implements Message {}
