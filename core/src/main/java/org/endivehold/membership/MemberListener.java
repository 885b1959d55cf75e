package org.endivehold.membership;

/** Is told of changes to the known daemons. */
@FunctionalInterface
public interface MemberListener {
    /**
     * A daemon appeared or changed its state, incarnation, address or configuration.
     *
     * @param member the daemon as it is now
     */
    void changed(Member member);
}
