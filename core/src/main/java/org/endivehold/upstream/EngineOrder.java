package org.endivehold.upstream;

import org.endivehold.misc.Epoch;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.VersionName;

/** An idempotent order to an engine; the epoch fences out orders of an earlier grantor. */
public sealed interface EngineOrder {
    /**
     * Returns the fencing number.
     *
     * @return the epoch of the grantor that gives the order
     */
    Epoch epoch();

    /**
     * Load a version.
     *
     * @param epoch the fencing number
     * @param version the version
     */
    record LoadVersion(Epoch epoch, VersionName version) implements EngineOrder {}

    /**
     * Unload a version.
     *
     * @param epoch the fencing number
     * @param version the version
     */
    record UnloadVersion(Epoch epoch, VersionName version) implements EngineOrder {}

    /**
     * Cancel a stream whose owner is gone; only frees memory.
     *
     * @param epoch the fencing number
     * @param stream the stream
     */
    record CancelStream(Epoch epoch, StreamId stream) implements EngineOrder {}

    /**
     * Free an exported cache whose owner is gone; only frees memory.
     *
     * @param epoch the fencing number
     * @param cache the engine's identifier of the cache
     */
    record ReleaseCache(Epoch epoch, String cache) implements EngineOrder {}
}
