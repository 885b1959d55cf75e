package org.endivehold.relay.engine;

/**
 * What a job is predicted to give back at one engine when it ends.
 *
 * @param atMillis predicted end of the job, in milliseconds of the tracker's clock
 * @param tokens memory that it holds at the engine, in tokens
 * @param slots slots that it uses at the engine: 1 if the engine decodes its answer, otherwise 0
 */
public record PredictedRelease(double atMillis, long tokens, int slots) {}
