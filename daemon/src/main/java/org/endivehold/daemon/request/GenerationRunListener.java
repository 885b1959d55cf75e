package org.endivehold.daemon.request;

import java.util.Optional;

/** Is told what one run means for the others. */
interface GenerationRunListener {
    /**
     * The run has ended.
     *
     * @param run the run
     */
    void ended(GenerationRun run);

    /**
     * The run needs another engine.
     *
     * @param run the run
     */
    void replace(GenerationRun run);

    /**
     * Makes the token with which the caller can go on elsewhere.
     *
     * @param run the run
     * @param stream its stream
     * @return the token, empty if none can be made
     */
    Optional<String> reattachToken(GenerationRun run, EngineStream stream);
}
