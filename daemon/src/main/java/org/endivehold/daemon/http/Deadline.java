package org.endivehold.daemon.http;

import org.endivehold.config.Route;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Parses the request header that sets the deadline of a request. */
final class Deadline {
    /** Request header with the time allowed for the request, in milliseconds from its arrival. */
    static final String HEADER = "Endivehold-Deadline-Millis";

    private Deadline() {}

    /**
     * Returns the time allowed for a request.
     *
     * @param header the value of the header; null if the caller sent none
     * @param route the route, which sets the default and the maximum
     * @return milliseconds, at least 1
     * @throws EndiveholdException of type {@code BAD_DEADLINE} if the value is not a number or out of range
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
