package org.endivehold.relay.serve;

import io.vertx.core.Future;
import java.util.function.Consumer;
import org.endivehold.http.InvalidAnswerException;
import org.endivehold.relay.state.Upstream;

/** Client for the commands that reserve and release memory at engines. */
public interface EngineMemoryClient {
    /** Sets the listener for the head of each answer to a command. */
    default void onAnswer(UpstreamTrafficListener listener) {}

    /** Sets the listener for answers to commands that were invalid, and so count as none. */
    default void onInvalidAnswer(Consumer<InvalidAnswerException> listener) {}

    /**
     * Reserves memory, or renews a reservation with the same id.
     *
     * @param engine engine that holds the memory
     * @param reservation id of the reservation
     * @param tokens amount of memory, in tokens
     * @param holdMillis how long it is held without a renewal
     * @return completes when the memory is reserved; fails with {@code RESERVATION_REFUSED} if the engine refuses, with
     *     {@code UPSTREAM_TIMEOUT} if the outcome is unknown
     */
    Future<Void> reserve(Upstream engine, String reservation, long tokens, int holdMillis);

    /** Releases a reservation; the future fails if the engine did not confirm it. */
    Future<Void> release(Upstream engine, String reservation);
}
