package org.endivehold.wire;

import java.util.List;
import org.endivehold.grant.GroupStatement;

/**
 * Renews all grants that the sender holds from the receiver; one per pair of daemons and period.
 *
 * @param statements one for each group of which the sender takes the receiver for the grantor
 */
public record RenewRequest(List<GroupStatement> statements) implements Message {
    /** Copies the list. */
    public RenewRequest {
        statements = statements == null ? List.of() : List.copyOf(statements);
    }
}
