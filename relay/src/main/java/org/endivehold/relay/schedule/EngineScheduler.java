package org.endivehold.relay.schedule;

import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;

/** Decides when and on which engines requests run. */
public interface EngineScheduler {
    /** Is told what was decided for one request, once. */
    interface Listener {
        /**
         * Engines were chosen. The request is in the scheduler's account until its end is told.
         *
         * @param job the request as it is in the account
         * @param placement the engines
         */
        void placed(EngineJob job, Placement placement);

        /**
         * No engine suits the request; it has not run.
         *
         * @param retryAfterMillis when the caller may come back
         */
        void refused(double retryAfterMillis);
    }

    /** Asks for engines. The listener may be told before this call returns. */
    void submit(EngineRequest request, Listener listener);

    /** Takes a wish back; its listener is not told any more. */
    void withdraw(JobId id);
}
