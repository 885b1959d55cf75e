package org.endivehold.grant;

import java.util.List;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;

/**
 * What a holder says about one upstream. It is at once the request for renewal, the acknowledgement of the grant that
 * it names, the explicit hand-back of whatever that grant exceeds {@code held} by, and the answer to a successor.
 *
 * @param upstream the upstream
 * @param epoch epoch of the grant in force; zero if there is none
 * @param serial serial number of that grant
 * @param held what the holder may use now
 * @param residualSlots what it may use after the grant's time
 * @param remainingMillis time left of the grant in milliseconds
 * @param inFlight what its streams and calls in progress use of the pooled share
 * @param demand what waits for capacity
 * @param suspected whether the holder has evidence that the upstream started again or fails
 * @param boot boot number that the grant names
 * @param streams streams on the engine that the holder answers for
 * @param ended streams that the holder has done with of late
 */
public record HolderStatement(
        UpstreamName upstream,
        Epoch epoch,
        long serial,
        Amount held,
        int residualSlots,
        long remainingMillis,
        Amount inFlight,
        Amount demand,
        boolean suspected,
        BootNumber boot,
        List<StreamId> streams,
        List<StreamId> ended) {
    /** Copies the lists. */
    public HolderStatement {
        streams = streams == null ? List.of() : List.copyOf(streams);
        ended = ended == null ? List.of() : List.copyOf(ended);
    }
}
