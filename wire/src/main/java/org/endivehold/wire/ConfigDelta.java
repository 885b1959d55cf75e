package org.endivehold.wire;

import java.util.List;
import java.util.Objects;
import org.endivehold.misc.Revision;

/**
 * Response to {@link ConfigFetch}: the sender's configuration in force, as a difference to the requester's revision, or
 * whole if the sender no longer has that revision. Without content if the requester's revision is not older.
 *
 * @param revision the revision in force at the sender; zero if there is none
 * @param digest its digest; empty if there is none
 * @param changed changed and new objects as canonical JSON
 * @param removed removed objects as {@code Kind/name}
 * @param whole compressed chunks of the whole configuration; empty if a difference is sent
 */
public record ConfigDelta(
        Revision revision, String digest, List<String> changed, List<String> removed, List<byte[]> whole)
        implements Message {
    /** Rejects missing components and makes defensive copies of the lists. */
    public ConfigDelta {
        Objects.requireNonNull(revision, "revision");
        Objects.requireNonNull(digest, "digest");
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
        whole = List.copyOf(whole);
    }
}
