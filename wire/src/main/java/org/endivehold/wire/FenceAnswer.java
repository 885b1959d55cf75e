package org.endivehold.wire;

import java.util.Optional;
import org.endivehold.grant.GrantorStatement;
import org.endivehold.grant.GroupGrantor;
import org.endivehold.grant.GroupStatement;

/**
 * Answer to a {@link FenceRequest}.
 *
 * @param statement what the daemon holds; empty if it knows a higher epoch
 * @param past what it states as an earlier grantor of the group
 * @param grantor the grantor that it knows
 */
public record FenceAnswer(
        Optional<GroupStatement> statement, Optional<GrantorStatement> past, Optional<GroupGrantor> grantor)
        implements Message {}
