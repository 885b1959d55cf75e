package org.endivehold.membership;

/** Is told of changes to the known daemons. */
public interface MemberListener {
    /**
     * A daemon appeared, or changed its incarnation, its address or whether it leaves.
     *
     * @param member the daemon as it is now
     */
    void changed(Member member);

    /**
     * A daemon has ended: its entry was removed or its lease has run out.
     *
     * @param member the daemon as it was
     */
    default void gone(Member member) {}
}
