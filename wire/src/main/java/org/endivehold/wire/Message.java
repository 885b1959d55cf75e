package org.endivehold.wire;

/**
 * A message between daemons: a record whose components Jackson can write as MessagePack. Each kind has an entry in
 * {@link MessageType}.
 */
public interface Message {}
