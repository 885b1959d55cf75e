package org.endivehold.grant;

import java.util.List;
import org.endivehold.misc.Epoch;
import org.endivehold.upstream.StreamOwner;

/**
 * What a holder says about one group at one instant.
 *
 * @param group the group
 * @param fenced the highest epoch that the holder knows; it refuses grants of any other
 * @param holder the holder
 * @param number grows with each statement and each reservation request of the holder
 * @param upstreams one statement for each upstream of the group that the holder wants or uses
 * @param reservations the reservations that it holds
 * @param pendingReservations numbers of its reservation requests that are not answered yet
 */
public record GroupStatement(
        int group,
        Epoch fenced,
        StreamOwner holder,
        long number,
        List<HolderStatement> upstreams,
        List<Reservation> reservations,
        List<Long> pendingReservations) {
    /** Copies the lists. */
    public GroupStatement {
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        reservations = reservations == null ? List.of() : List.copyOf(reservations);
        pendingReservations = pendingReservations == null ? List.of() : List.copyOf(pendingReservations);
    }
}
