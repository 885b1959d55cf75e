package org.endivehold.upstream;

/**
 * A chunk of consecutive tokens of a streamed answer.
 *
 * @param offset number of tokens of the answer before this piece
 * @param tokens number of tokens in this piece, positive
 * @param text text of these tokens
 */
public record StreamPiece(long offset, int tokens, String text) {}
