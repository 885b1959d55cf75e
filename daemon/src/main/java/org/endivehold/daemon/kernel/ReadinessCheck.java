package org.endivehold.daemon.kernel;

import java.util.Optional;

/** Implemented by services that can report the daemon as not ready for new requests. */
public interface ReadinessCheck {
    /**
     * Checks whether this service is ready.
     *
     * @return the reason why it is not ready, in words for operators; empty if it is ready
     */
    Optional<String> notReady();
}
