package org.endivehold.daemon.request;

import java.util.Optional;

/** Receives the events of a run that affect the queue and the placement of other runs. */
interface GenerationRunListener {
    /**
     * The run has ended.
     *
     * @param run the run
     */
    void ended(GenerationRun run);

    /**
     * The run has left its engine and has to be placed on another one.
     *
     * @param run the run
     */
    void engineNeeded(GenerationRun run);

    /**
     * Creates the token with which the caller can continue the stream through any daemon.
     *
     * @param run the run
     * @param stream its stream
     * @return the signed token, empty if no secret is configured
     */
    Optional<String> reattachToken(GenerationRun run, EngineStream stream);
}
