package org.endivehold.membership;

/** Receives changes to the list of registered daemons. */
public interface MemberListener {
    /**
     * Called when a daemon has registered, or its incarnation, address or {@code leaving} flag has changed.
     *
     * @param member the new entry
     */
    void changed(Member member);

    /**
     * Called when the entry of a daemon was removed or its lease has expired.
     *
     * @param member the last known entry
     */
    default void gone(Member member) {}
}
