package org.endivehold.daemon.http;

import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Customer;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Keys and routes of the configuration in force, looked up together so that one request sees one revision. */
final class CallerDirectory {
    private final Authenticator authenticator;
    private final RouteTable routes;

    CallerDirectory(ConfigurationSnapshot snapshot) {
        authenticator = new Authenticator(snapshot.configuration());
        routes = new RouteTable(snapshot.configuration());
    }

    Customer customer(String authorization) throws EndiveholdException {
        return authenticator
                .customer(authorization)
                .orElseThrow(() -> new EndiveholdException(ErrorType.UNAUTHENTICATED));
    }

    RouteTable routes() {
        return routes;
    }
}
