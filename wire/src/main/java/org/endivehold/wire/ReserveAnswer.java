package org.endivehold.wire;

import java.util.List;
import org.endivehold.grant.Reservation;

/**
 * Answer to a {@link ReserveRequest}.
 *
 * @param reservations what was reserved; empty if nothing
 */
public record ReserveAnswer(List<Reservation> reservations) implements Message {
    /** Copies the list. */
    public ReserveAnswer {
        reservations = reservations == null ? List.of() : List.copyOf(reservations);
    }
}
