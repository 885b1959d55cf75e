package org.endivehold.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;

/**
 * The daemons that are believed to be live. A hint for speed, late and sometimes wrong: nothing that must hold may rest
 * on it.
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
     * Returns all known daemons with this one, also the suspected, leaving and dead ones that are still remembered.
     *
     * @return the members, in order of hosts
     */
    Collection<Member> members();

    /**
     * Returns the other daemons that are not believed dead.
     *
     * @return the members, in order of hosts
     */
    default List<Member> others() {
        HostId own = self().host();
        return members().stream()
                .filter(m -> m.state() != Member.State.DEAD && !m.host().equals(own))
                .toList();
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
     * Returns the number of daemons that are not believed dead, with this one.
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

    /**
     * Tells the others, with the next heartbeats, which configuration is in force here.
     *
     * @param revision number of the revision
     * @param digest its digest
     */
    void announceConfiguration(Revision revision, String digest);

    /** Tells the others that this daemon is about to leave. */
    void announceLeaving();
}
