package org.endivehold.daemon.kernel;

import java.util.Optional;

/** A service that can make its daemon unfit for new requests. */
public interface ReadinessCheck {
    /**
     * Tells why the daemon is not ready.
     *
     * @return a reason for operators, or empty if this service is ready
     */
    Optional<String> notReady();
}
