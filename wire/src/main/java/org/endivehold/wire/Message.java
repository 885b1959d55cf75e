package org.endivehold.wire;

/**
 * A message between daemons: a record that Jackson can serialize as MessagePack. Each implementation has an entry in
 * {@link MessageType}.
 */
public interface Message {}
