package org.endivehold.relay.state;

import org.endivehold.relay.route.UpstreamEntry;

/**
 * A registered upstream and the end of its cold phase, during which it can serve only a limited request rate.
 *
 * @param entry its registration in the store
 * @param coldUntil end of its cold phase, in milliseconds of this daemon's clock
 */
public record Upstream(UpstreamEntry entry, double coldUntil) {
    /** Returns the id of the upstream's current start. */
    public String id() {
        return entry.id();
    }

    /** Returns whether it is in its cold phase at a time of this daemon's clock, in milliseconds. */
    public boolean cold(double now) {
        return now < coldUntil;
    }
}
