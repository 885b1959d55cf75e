package org.endivehold.daemon.http;

import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Customer;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** API keys and routes of one configuration revision, kept together so that a request uses a single revision. */
final class CallerConfiguration {
    private final Authenticator authenticator;
    private final RouteTable routes;

    CallerConfiguration(ConfigurationSnapshot snapshot) {
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
