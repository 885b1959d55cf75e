package org.endivehold.membership;

import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.Revision;
import org.endivehold.misc.ZoneName;

/**
 * What is known of one daemon.
 *
 * @param host its host
 * @param incarnation its process
 * @param zone its availability zone
 * @param address IP address for peers
 * @param port TCP port for peers
 * @param state whether it is believed live
 * @param stateNumber grows each time that the daemon refutes a suspicion or tells of a change; restarts with each
 *     incarnation
 * @param revision the configuration in force there, as far as is known
 * @param digest digest of that configuration; empty if none is in force
 */
public record Member(
        HostId host,
        Incarnation incarnation,
        ZoneName zone,
        String address,
        int port,
        State state,
        long stateNumber,
        Revision revision,
        String digest) {
    /** Whether a daemon is believed live. */
    public enum State {
        /** It answers. */
        ALIVE,
        /** It answers, and is about to leave. */
        LEAVING,
        /** It did not answer of late. */
        SUSPECT,
        /** It is believed gone. */
        DEAD
    }

    /**
     * Returns this entry with another state.
     *
     * @param next the state
     * @return the changed entry
     */
    public Member with(State next) {
        return new Member(host, incarnation, zone, address, port, next, stateNumber, revision, digest);
    }

    /**
     * Returns this entry with a higher number.
     *
     * @param next the state
     * @param number the state number
     * @return the changed entry
     */
    public Member with(State next, long number) {
        return new Member(host, incarnation, zone, address, port, next, number, revision, digest);
    }

    /**
     * Returns this entry with another configuration.
     *
     * @param nextRevision the revision
     * @param nextDigest its digest
     * @return the changed entry
     */
    public Member with(Revision nextRevision, String nextDigest) {
        return new Member(host, incarnation, zone, address, port, state, stateNumber, nextRevision, nextDigest);
    }
}
