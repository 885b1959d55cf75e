package org.endivehold.upstream.protocol;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.StreamId;

/**
 * Data of the first server-sent event, {@code event: started}.
 *
 * @param id the stream
 * @param boot boot number of the engine
 * @param cachedTokens prompt tokens found in the prefix cache
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record StartedBody(StreamId id, BootNumber boot, long cachedTokens) {}
