package org.endivehold.relay.serve;

import java.util.OptionalLong;

/**
 * How far a request has come, where it is handed over to another daemon.
 *
 * @param sends how often it was sent to upstreams
 * @param possibleRuns how many upstreams may have run it
 * @param lastEventId id of the last event that the caller has received
 * @param counted whether it was counted for the retry budget
 */
record RequestProgress(int sends, int possibleRuns, OptionalLong lastEventId, boolean counted) {
    /** Returns the progress of a request that has just arrived. */
    static RequestProgress none(CallerRequestHead head) {
        return new RequestProgress(0, 0, head.resumeAfter(), false);
    }
}
