package org.endivehold.config;

import java.util.Optional;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;

/**
 * A revision to fetch and the source to fetch it from. Exactly one of {@code head} and {@code neighbour} is present.
 *
 * @param revision the lowest acceptable revision; a source may deliver a higher one
 * @param digest the digest that its source announced
 * @param head the head in the key-value service, if that is the source
 * @param neighbour the daemon to ask, if a daemon is the source
 */
public record FetchOrder(
        Revision revision, String digest, Optional<ConfigurationHead> head, Optional<HostId> neighbour) {
    static FetchOrder fromStore(ConfigurationHead head) {
        return new FetchOrder(head.revision(), head.digest(), Optional.of(head), Optional.empty());
    }

    static FetchOrder fromNeighbour(HostId host, Revision revision, String digest) {
        return new FetchOrder(revision, digest, Optional.empty(), Optional.of(host));
    }
}
