package org.endivehold.upstream;

import org.endivehold.misc.Epoch;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.VersionName;

/** An idempotent control command to an engine. The epoch lets the engine reject orders of a superseded grantor. */
public sealed interface EngineOrder {
    /**
     * Returns the fencing token.
     *
     * @return the epoch of the grantor that sends the order
     */
    Epoch epoch();

    /**
     * Loads a version into the engine.
     *
     * @param epoch the fencing token
     * @param version the version
     */
    record LoadVersion(Epoch epoch, VersionName version) implements EngineOrder {}

    /**
     * Unloads a version from the engine.
     *
     * @param epoch the fencing token
     * @param version the version
     */
    record UnloadVersion(Epoch epoch, VersionName version) implements EngineOrder {}

    /**
     * Cancels a stream whose owner has ended; the only effect is that memory is freed.
     *
     * @param epoch the fencing token
     * @param stream the stream
     */
    record CancelStream(Epoch epoch, StreamId stream) implements EngineOrder {}

    /**
     * Releases an exported cache whose owner has ended; the only effect is that memory is freed.
     *
     * @param epoch the fencing token
     * @param cache the engine's identifier of the cache
     */
    record ReleaseCache(Epoch epoch, String cache) implements EngineOrder {}
}
