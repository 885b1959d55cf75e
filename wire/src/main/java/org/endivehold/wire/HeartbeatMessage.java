package org.endivehold.wire;

import org.endivehold.membership.Heartbeat;

/**
 * A message of failure detection.
 *
 * @param heartbeat the message
 */
public record HeartbeatMessage(Heartbeat heartbeat) implements Message {}
