package org.endivehold.upstream.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;
import java.util.Optional;

/**
 * One server-sent event of an answer.
 *
 * @param id the stream
 * @param offset tokens of the answer before this piece
 * @param tokens tokens in this piece; 0 in the last event
 * @param choices exactly one choice
 * @param usage totals; only in the last event
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record CompletionChunk(String id, long offset, int tokens, List<Choice> choices, Optional<Usage> usage) {
    /**
     * The text of a piece.
     *
     * @param index always 0
     * @param text the text
     * @param finishReason {@code stop} or {@code length} in the last event
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
    public record Choice(int index, String text, Optional<String> finishReason) {}

    /**
     * Totals of a stream.
     *
     * @param promptTokens tokens of the prompt
     * @param completionTokens tokens of the whole answer
     */
    @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
    public record Usage(long promptTokens, long completionTokens) {}

    /**
     * Makes the event of a piece.
     *
     * @param id the stream
     * @param offset tokens before the piece
     * @param tokens tokens in the piece
     * @param text its text
     * @return the event
     */
    public static CompletionChunk piece(String id, long offset, int tokens, String text) {
        return new CompletionChunk(
                id, offset, tokens, List.of(new Choice(0, text, Optional.empty())), Optional.empty());
    }

    /**
     * Makes the last event.
     *
     * @param id the stream
     * @param reason {@code stop} or {@code length}
     * @param usage totals
     * @return the event
     */
    public static CompletionChunk last(String id, String reason, Usage usage) {
        return new CompletionChunk(
                id, usage.completionTokens(), 0, List.of(new Choice(0, "", Optional.of(reason))), Optional.of(usage));
    }
}
