package org.endivehold.wire;

import java.util.List;
import org.endivehold.grant.Grant;
import org.endivehold.grant.GroupGrantor;

/**
 * Answer to a {@link RenewRequest}.
 *
 * @param grants the grants
 * @param grantors grantors of the groups whose statement did not count, as far as the sender knows: itself, with an
 *     epoch that the holder has to learn first, or another daemon
 */
public record RenewAnswer(List<Grant> grants, List<GroupGrantor> grantors) implements Message {
    /** Copies the lists. */
    public RenewAnswer {
        grants = grants == null ? List.of() : List.copyOf(grants);
        grantors = grantors == null ? List.of() : List.copyOf(grantors);
    }
}
