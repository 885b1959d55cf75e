package org.endivehold.relay.limit;

/** Why an upstream gets no new work; see {@link UpstreamAvailability}. */
public enum Unavailability {
    /** It is shutting down: it gets no new work until it starts again. */
    LEAVING(true),
    /** Its availability zone is evacuated: it gets no new work until operators take the zone back. */
    EVACUATED(true),
    /** It asked this daemon to send nothing for a time. */
    BACKING_OFF(true),
    /** It takes a limited number of requests a second, and this daemon's part is used up. */
    RATE_LIMITED(true),
    /** It failed: it gets new work only if no other upstream can take it. */
    EJECTED(false);

    private final boolean binding;

    Unavailability(boolean binding) {
        this.binding = binding;
    }

    /** Returns whether the upstream must not get new work even if there is no other. */
    public boolean isBinding() {
        return binding;
    }
}
