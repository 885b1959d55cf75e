package org.endivehold.stream;

import org.endivehold.upstream.StreamPiece;

/**
 * Joins the pieces of one answer over several attempts into one text without loss, repetition or crossing.
 *
 * <p>Attempts are numbered from one. Only pieces of the latest attempt count, and each must begin exactly where the
 * text ends. A piece that lies wholly before the end repeats what is there and is dropped. One that begins after the
 * end leaves a gap, and one that straddles the end cannot be cut, since a text does not tell where its tokens end: both
 * break the attempt.
 *
 * <p>Example: with three tokens assembled, a piece at offset 1 with 2 tokens is dropped, one at offset 3 is appended,
 * one at offset 4 or one at offset 2 with 2 tokens breaks the attempt.
 */
public final class StreamAssembler {
    private final StringBuilder text = new StringBuilder();
    private long tokens;
    private int attempt;

    /** Creates an empty answer with no attempt. */
    public StreamAssembler() {}

    /**
     * Creates an answer whose first tokens were delivered by somebody else.
     *
     * @param tokens number of tokens
     */
    public StreamAssembler(long tokens) {
        this.tokens = tokens;
    }

    /** What becomes of a piece. */
    public enum Verdict {
        /** Pass it on. */
        APPENDED,
        /** Ignore it. */
        DROPPED,
        /** Ignore it; the attempt cannot go on. */
        BROKEN
    }

    /**
     * Begins the next attempt; pieces of earlier ones are dropped from now on.
     *
     * @return its number, from one
     */
    public int nextAttempt() {
        return ++attempt;
    }

    /**
     * Takes a piece.
     *
     * @param from number of the attempt that it came from
     * @param piece the piece
     * @return what becomes of it
     */
    public Verdict accept(int from, StreamPiece piece) {
        long end = piece.offset() + piece.tokens();
        if (from != attempt || end <= tokens) {
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
     * @return tokens from the beginning of the answer
     */
    public long tokens() {
        return tokens;
    }

    /**
     * Returns the text assembled here.
     *
     * @return the text
     */
    public String text() {
        return text.toString();
    }
}
