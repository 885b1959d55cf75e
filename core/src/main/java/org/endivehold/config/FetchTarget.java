package org.endivehold.config;

import java.util.Optional;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;

/**
 * Where to fetch a revision.
 *
 * <p>Exactly one of {@code head} and {@code neighbour} is present.
 *
 * @param revision the lowest acceptable revision; a source may deliver a higher one
 * @param digest the digest that its source announced
 * @param head the record in the key-value service, if that is the source
 * @param neighbour the daemon to ask, if a daemon is the source
 */
public record FetchTarget(Revision revision, String digest, Optional<RevisionRecord> head, Optional<HostId> neighbour) {
    static FetchTarget fromStore(RevisionRecord head) {
        return new FetchTarget(head.revision(), head.digest(), Optional.of(head), Optional.empty());
    }

    static FetchTarget fromNeighbour(HostId host, Revision revision, String digest) {
        return new FetchTarget(revision, digest, Optional.empty(), Optional.of(host));
    }
}
