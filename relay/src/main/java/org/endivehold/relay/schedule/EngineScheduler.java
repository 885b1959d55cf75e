package org.endivehold.relay.schedule;

import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;

/** Decides when requests run and on which engines. */
public interface EngineScheduler {
    /** Receives the decision for one request; {@link #placed} or {@link #refused} is called, once. */
    interface Listener {
        /**
         * Tells why the request waited or is refused; called before the decision. It is not called for a request that
         * did not wait, or if another daemon decided that does not report the reason.
         */
        default void explained(WaitReason reason) {}

        /**
         * Engines were chosen. The scheduler counts the request as load on them until its end is reported with
         * {@link JobReplicator#end}.
         *
         * @param job the request as the scheduler tracks it
         * @param placement the chosen engines
         */
        void placed(EngineJob job, Placement placement);

        /**
         * The request was refused; it has not run.
         *
         * @param retryAfterMillis time after which the caller may retry
         */
        void refused(double retryAfterMillis);
    }

    /** Submits a request. The listener may be called before this method returns. */
    void submit(EngineRequest request, Listener listener);

    /** Withdraws a request that is not decided yet; its listener is not called any more. */
    void withdraw(JobId id);
}
