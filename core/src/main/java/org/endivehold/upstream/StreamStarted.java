package org.endivehold.upstream;

import org.endivehold.misc.BootNumber;
import org.endivehold.misc.StreamId;

/**
 * First event of a stream: the engine has accepted it.
 *
 * @param stream the stream
 * @param boot boot number of the engine, which changes with each restart
 * @param cachedTokens prompt tokens that the engine found in its prefix cache
 */
public record StreamStarted(StreamId stream, BootNumber boot, long cachedTokens) {}
