package org.endivehold.wire;

import java.util.List;
import java.util.Objects;
import org.endivehold.misc.Revision;

/**
 * What a daemon has in force, as the difference to what the asking daemon has, or whole where that revision is not kept
 * any more. Without any content if the asking daemon has nothing to gain.
 *
 * @param revision the revision in force; zero if there is none
 * @param digest its digest; empty if there is none
 * @param changed changed and new objects as canonical JSON
 * @param removed removed objects as {@code Kind/name}
 * @param whole compressed chunks of the whole configuration; empty if this is a difference
 */
public record ConfigDelta(
        Revision revision, String digest, List<String> changed, List<String> removed, List<byte[]> whole)
        implements Message {
    /** Rejects missing components. */
    public ConfigDelta {
        Objects.requireNonNull(revision, "revision");
        Objects.requireNonNull(digest, "digest");
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
        whole = List.copyOf(whole);
    }
}
