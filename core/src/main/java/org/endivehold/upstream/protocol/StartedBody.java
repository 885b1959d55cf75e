package org.endivehold.upstream.protocol;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.StreamId;

/**
 * Data of the first server-sent event, {@code event: started}.
 *
 * @param id identifier of the stream
 * @param boot boot number of the engine
 * @param cachedTokens number of prompt tokens that the engine found in its prefix cache
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record StartedBody(StreamId id, BootNumber boot, long cachedTokens) {}
