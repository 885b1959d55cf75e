package org.endivehold.wire;

import java.util.List;
import org.endivehold.grant.Grant;

/**
 * Changes grants between renewals.
 *
 * @param grants the grants, which keep the end of those that they replace
 */
public record ChangeRequest(List<Grant> grants) implements Message {
    /** Copies the list. */
    public ChangeRequest {
        grants = grants == null ? List.of() : List.copyOf(grants);
    }
}
