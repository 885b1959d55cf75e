package org.endivehold.upstream;

/**
 * Consecutive tokens of an answer.
 *
 * @param offset number of tokens of the answer before this piece
 * @param tokens number of tokens in this piece, positive
 * @param text their text
 */
public record StreamPiece(long offset, int tokens, String text) {}
