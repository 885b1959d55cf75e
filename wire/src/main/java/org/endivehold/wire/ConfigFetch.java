package org.endivehold.wire;

import java.util.Objects;
import org.endivehold.misc.Revision;

/**
 * Asks a neighbour for its configuration if it is newer; answered by {@link ConfigDelta}. Also tells the neighbour what
 * is in force at the sender.
 *
 * @param have revision in force at the sender; zero if there is none
 * @param digest its digest; empty if there is none
 */
public record ConfigFetch(Revision have, String digest) implements Message {
    /** Rejects missing components. */
    public ConfigFetch {
        Objects.requireNonNull(have, "have");
        Objects.requireNonNull(digest, "digest");
    }
}
