package org.endivehold.wire;

import org.endivehold.grant.GroupGrantor;

/**
 * Asks a daemon to refuse earlier epochs of a group and to state what it holds.
 *
 * @param grantor the sender as grantor of the group
 */
public record FenceRequest(GroupGrantor grantor) implements Message {}
