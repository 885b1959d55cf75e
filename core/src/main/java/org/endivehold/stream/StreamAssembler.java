package org.endivehold.stream;

import org.endivehold.upstream.StreamPiece;

/**
 * Joins the pieces of one answer, received over several attempts, into one text without gaps, repetition or pieces of
 * outdated attempts.
 *
 * <p>Attempts are numbered from one. Only pieces of the latest attempt are accepted, and each must begin exactly where
 * the text ends. A piece that ends at or before that point repeats known tokens and is dropped. A piece that begins
 * after it leaves a gap, and one that overlaps it cannot be split, because the text of a piece does not show where its
 * tokens end; the result for both is {@link Verdict#BROKEN}.
 *
 * <p>Example: with three tokens assembled, a piece of 2 tokens at offset 1 is dropped, and a piece at offset 3 is
 * appended. A piece at offset 4, or a piece of 2 tokens at offset 2, is not accepted, and the attempt has to be ended.
 */
public final class StreamAssembler {
    private final StringBuilder text = new StringBuilder();
    private long tokens;
    private int attempt;

    /** Creates an empty answer with no attempt. */
    public StreamAssembler() {}

    /**
     * Creates an answer whose first tokens were delivered elsewhere, without their text.
     *
     * @param tokens number of those tokens
     */
    public StreamAssembler(long tokens) {
        this.tokens = tokens;
    }

    /** How a piece was handled. */
    public enum Verdict {
        /** It was appended, and the caller has to deliver it. */
        APPENDED,
        /** It repeats known tokens or belongs to an earlier attempt, and was ignored. */
        DROPPED,
        /** It does not fit the end of the text and was ignored; the attempt has to be ended. */
        BROKEN
    }

    /**
     * Begins the next attempt; pieces of earlier ones are dropped from now on.
     *
     * @return number of the new attempt, starting at one
     */
    public int nextAttempt() {
        return ++attempt;
    }

    /**
     * Appends a piece if it fits.
     *
     * @param pieceAttempt number of the attempt that the piece belongs to
     * @param piece the piece
     * @return how the piece was handled
     */
    public Verdict accept(int pieceAttempt, StreamPiece piece) {
        long end = piece.offset() + piece.tokens();
        if (pieceAttempt != attempt || end <= tokens) {
            return Verdict.DROPPED;
        }
        if (piece.offset() != tokens) {
            return Verdict.BROKEN;
        }
        tokens = end;
        text.append(piece.text());
        return Verdict.APPENDED;
    }

    /**
     * Returns the number of tokens assembled.
     *
     * @return number of tokens from the start of the answer, including those delivered elsewhere
     */
    public long tokens() {
        return tokens;
    }

    /**
     * Returns the assembled text.
     *
     * @return the text, without tokens that were delivered elsewhere
     */
    public String text() {
        return text.toString();
    }
}
