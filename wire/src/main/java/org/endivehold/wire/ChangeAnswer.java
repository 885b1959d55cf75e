package org.endivehold.wire;

import java.util.List;
import org.endivehold.grant.GroupStatement;

/**
 * Answer to a {@link ChangeRequest}.
 *
 * @param statements what the holder holds now of the groups concerned
 */
public record ChangeAnswer(List<GroupStatement> statements) implements Message {
    /** Copies the list. */
    public ChangeAnswer {
        statements = statements == null ? List.of() : List.copyOf(statements);
    }
}
