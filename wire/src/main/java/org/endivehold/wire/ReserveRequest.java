package org.endivehold.wire;

import org.endivehold.grant.ReservationRequest;
import org.endivehold.upstream.StreamOwner;

/**
 * Asks a grantor for a reservation.
 *
 * @param group the group
 * @param holder who asks
 * @param number number of the request, of the same series as the holder's statements
 * @param request what is needed
 */
public record ReserveRequest(int group, StreamOwner holder, long number, ReservationRequest request)
        implements Message {}
