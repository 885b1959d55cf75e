package org.endivehold.upstream;

import org.endivehold.misc.BootNumber;
import org.endivehold.misc.StreamId;

/**
 * The engine's acceptance of a stream.
 *
 * @param stream the stream
 * @param boot the boot number of the engine
 * @param cachedTokens prompt tokens that the engine found in its prefix cache
 */
public record StreamStarted(StreamId stream, BootNumber boot, long cachedTokens) {}
