package org.endivehold.relay.schedule;

import java.util.Collection;
import org.endivehold.misc.RendezvousHash;
import org.endivehold.relay.limit.DaemonCount;

/**
 * Divides the engines among daemons that do not hear of each other.
 *
 * <p>A daemon knows the load of the engines from its own jobs and from what the others report. While reports of some do
 * not arrive, it takes engines for idle that those have filled, and both sides send their requests there. So each
 * engine has an owner, the daemon with the highest rendezvous hash, and a daemon prefers the engines of those that it
 * hears of, itself included. All daemons compute the same owners without a message, so two sides that do not hear of
 * each other prefer different engines, and each has as large a part of them as of the daemons.
 *
 * <p>It is a preference only: a daemon that is not heard of may have ended, or its engines may be what a long prompt
 * needs.
 *
 * <p>In a large fleet one daemon decides for all, and those that it does not hear of have another one.
 */
public final class EngineDivision {
    /** Cost of an engine that is left to others, relative to the weight of the request. */
    private static final double LEFT_TO_OTHERS_PENALTY = 0.6;

    private final DaemonCount daemons;

    /** Creates the division among daemons. */
    public EngineDivision(DaemonCount daemons) {
        this.daemons = daemons;
    }

    /** Returns the cost of choosing an engine for a request of weight 1, as far as it is left to other daemons. */
    public double penalty(String engine) {
        return isLeftToOthers(engine) ? LEFT_TO_OTHERS_PENALTY : 0;
    }

    /** Returns whether an engine is left to daemons that this one does not hear of at present. */
    private boolean isLeftToOthers(String engine) {
        Collection<String> names = daemons.names();
        if (!daemons.usesFullMesh() || daemons.heard() == names.size()) {
            return false;
        }
        return names.stream()
                .filter(name -> RendezvousHash.chosen(name, names, engine, 1))
                .noneMatch(daemons::hears);
    }
}
