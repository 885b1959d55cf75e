package org.endivehold.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.endivehold.misc.HostId;

/**
 * The daemons that are registered. A hint for speed, late and sometimes wrong: nothing that must hold may rest on it.
 */
public interface LiveHosts {
    /** Name of the service. */
    String NAME = "membership";

    /**
     * Returns this daemon.
     *
     * @return the own entry
     */
    Member self();

    /**
     * Returns all registered daemons with this one.
     *
     * @return the members, in order of hosts
     */
    Collection<Member> members();

    /**
     * Tells whether this daemon is registered itself. Until then the others are unknown: who is missing may live.
     *
     * @return whether the service has taken its entry
     */
    boolean registered();

    /**
     * Returns the other registered daemons.
     *
     * @return the members, in order of hosts
     */
    default List<Member> others() {
        HostId own = self().host();
        return members().stream().filter(m -> !m.host().equals(own)).toList();
    }

    /**
     * Finds a daemon.
     *
     * @param host its host
     * @return the member, or empty if it is not known
     */
    default Optional<Member> member(HostId host) {
        return members().stream().filter(m -> m.host().equals(host)).findFirst();
    }

    /**
     * Returns the number of registered daemons, with this one.
     *
     * @return a positive number
     */
    default int liveCount() {
        return others().size() + 1;
    }

    /**
     * Adds a listener.
     *
     * @param listener told of each later change
     */
    void listen(MemberListener listener);
}
