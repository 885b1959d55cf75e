package org.endivehold.wire;

import java.util.List;
import org.endivehold.grant.GroupGrantor;

/**
 * Answer to a {@link GrantorsRequest}.
 *
 * @param grantors the grantors that the sender knows
 */
public record GrantorsAnswer(List<GroupGrantor> grantors) implements Message {
    /** Copies the list. */
    public GrantorsAnswer {
        grantors = grantors == null ? List.of() : List.copyOf(grantors);
    }
}
