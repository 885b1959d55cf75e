package org.endivehold.upstream.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;
import java.util.Optional;

/**
 * Data of one server-sent event of an answer.
 *
 * @param id identifier of the stream
 * @param offset number of tokens of the answer before this piece
 * @param tokens number of tokens in this piece; 0 in the last event
 * @param choices exactly one choice
 * @param usage token counts; only in the last event
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record CompletionChunk(String id, long offset, int tokens, List<Choice> choices, Optional<Usage> usage) {
    /**
     * The text of a piece and, in the last event, the finish reason.
     *
     * @param index always 0
     * @param text the text
     * @param finishReason {@code stop} or {@code length} in the last event; absent in others
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
    public record Choice(int index, String text, Optional<String> finishReason) {}

    /**
     * Token counts of a stream.
     *
     * @param promptTokens length of the prompt in tokens
     * @param completionTokens length of the whole answer in tokens
     */
    @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
    public record Usage(long promptTokens, long completionTokens) {}

    /**
     * Creates the event for a piece of text.
     *
     * @param id identifier of the stream
     * @param offset number of tokens before the piece
     * @param tokens number of tokens in the piece
     * @param text its text
     * @return the event
     */
    public static CompletionChunk piece(String id, long offset, int tokens, String text) {
        return new CompletionChunk(
                id, offset, tokens, List.of(new Choice(0, text, Optional.empty())), Optional.empty());
    }

    /**
     * Creates the last event, which has no text.
     *
     * @param id identifier of the stream
     * @param reason {@code stop} or {@code length}
     * @param usage token counts
     * @return the event
     */
    public static CompletionChunk last(String id, String reason, Usage usage) {
        return new CompletionChunk(
                id, usage.completionTokens(), 0, List.of(new Choice(0, "", Optional.of(reason))), Optional.of(usage));
    }
}
