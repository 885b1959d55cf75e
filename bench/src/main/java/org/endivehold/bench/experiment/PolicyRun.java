package org.endivehold.bench.experiment;

import java.util.List;
import org.endivehold.bench.caller.CallResult;
import org.endivehold.bench.fleet.FleetPolicy;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.store.StoreCalls;

/**
 * Raw results of one experiment under one policy.
 *
 * @param policy policy of the fleet
 * @param results results of the requests that ended
 * @param unfinished number of requests that had not ended when the drain time-out expired
 * @param marks times of the disturbances
 * @param log event log of the stand-ins
 * @param leakedTokens memory still in use on the engines after the release time-out, in tokens
 * @param storeCalls calls to the key-value service during the workload
 * @param millis planned duration of the workload in milliseconds
 */
public record PolicyRun(
        FleetPolicy policy,
        List<CallResult> results,
        int unfinished,
        List<Mark> marks,
        StandinLog log,
        long leakedTokens,
        StoreCalls storeCalls,
        long millis) {
    /** Makes unmodifiable copies of the lists. */
    public PolicyRun {
        results = List.copyOf(results);
        marks = List.copyOf(marks);
    }
}
