package org.endivehold.wire;

import java.util.Objects;
import org.endivehold.misc.Revision;

/**
 * Requests a peer's configuration if it is newer than the sender's; answered by {@link ConfigDelta}. Also announces the
 * sender's revision to the peer.
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
