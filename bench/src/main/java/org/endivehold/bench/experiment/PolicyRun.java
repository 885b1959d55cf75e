package org.endivehold.bench.experiment;

import java.util.List;
import org.endivehold.bench.caller.CallResult;
import org.endivehold.bench.fleet.FleetPolicy;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.store.StoreCalls;

/**
 * Everything that was seen in one experiment with one policy.
 *
 * @param policy the policy
 * @param results what the callers saw
 * @param unended requests that had not ended when the run was given up
 * @param marks when disturbances took place
 * @param log what the stand-ins did
 * @param leakedTokens memory still in use on engines after all requests had ended, in tokens
 * @param storeCalls calls to the key-value service during the workload
 * @param millis duration of the workload in milliseconds
 */
public record PolicyRun(
        FleetPolicy policy,
        List<CallResult> results,
        int unended,
        List<Mark> marks,
        StandinLog log,
        long leakedTokens,
        StoreCalls storeCalls,
        long millis) {
    /** Copies the lists. */
    public PolicyRun {
        results = List.copyOf(results);
        marks = List.copyOf(marks);
    }
}
