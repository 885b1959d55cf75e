package org.endivehold.relay.state;

import org.endivehold.relay.route.UpstreamEntry;

/**
 * An upstream and when it stops being cold.
 *
 * @param entry what it says of itself
 * @param coldUntil time of this daemon's clock in milliseconds until which it is cold
 */
public record Upstream(UpstreamEntry entry, double coldUntil) {
    /** Returns its id. */
    public String id() {
        return entry.id();
    }

    /** Tells whether it bears only a few requests a second. */
    public boolean cold(double now) {
        return now < coldUntil;
    }
}
