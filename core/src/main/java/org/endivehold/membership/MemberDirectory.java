package org.endivehold.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.endivehold.misc.HostId;

/**
 * The registered daemons, as far as this daemon knows. The list may be outdated or incomplete, so it may be used as an
 * optimization but no guarantee may depend on it.
 */
public interface MemberDirectory {
    /** Name of the service. */
    String NAME = "membership";

    /**
     * Returns the entry of this daemon.
     *
     * @return this daemon's entry, also while it is not registered
     */
    Member self();

    /**
     * Returns all registered daemons, including this one.
     *
     * @return the entries, sorted by host
     */
    Collection<Member> members();

    /**
     * Returns whether this daemon itself is registered. Until then it does not know the other daemons: one that is
     * missing from the list may be running.
     *
     * @return true if the key-value service has stored this daemon's entry
     */
    boolean registered();

    /**
     * Returns the registered daemons without this one.
     *
     * @return the entries, sorted by host
     */
    default List<Member> others() {
        HostId own = self().host();
        return members().stream().filter(m -> !m.host().equals(own)).toList();
    }

    /**
     * Returns the daemon of a host.
     *
     * @param host the host
     * @return its entry, or empty if it is not known
     */
    default Optional<Member> member(HostId host) {
        return members().stream().filter(m -> m.host().equals(host)).findFirst();
    }

    /**
     * Returns the number of registered daemons, including this one.
     *
     * @return a positive number, also while this daemon is not registered
     */
    default int memberCount() {
        return others().size() + 1;
    }

    /**
     * Adds a listener.
     *
     * @param listener receives each change from now on
     */
    void listen(MemberListener listener);
}
