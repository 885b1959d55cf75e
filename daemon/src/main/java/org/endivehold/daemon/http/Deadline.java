package org.endivehold.daemon.http;

import org.endivehold.config.Route;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Reads the deadline of a request. */
final class Deadline {
    /** Header with the time that the caller gives the request, in milliseconds. */
    static final String HEADER = "Endivehold-Deadline-Millis";

    private Deadline() {}

    /**
     * Returns the time that a request has.
     *
     * @param header the caller's header, null if none
     * @param route gives the default and the longest time
     * @return milliseconds, positive
     * @throws EndiveholdException of type {@code BAD_DEADLINE}
     */
    static long millis(String header, Route route) throws EndiveholdException {
        if (header == null) {
            return route.defaultDeadlineMillis();
        }
        try {
            long millis = Long.parseLong(header.trim());
            if (millis >= 1 && millis <= route.maxDeadlineMillis()) {
                return millis;
            }
        } catch (NumberFormatException e) {
            throw new EndiveholdException(ErrorType.BAD_DEADLINE, header, route.maxDeadlineMillis()).causedBy(e);
        }
        throw new EndiveholdException(ErrorType.BAD_DEADLINE, header, route.maxDeadlineMillis());
    }
}
