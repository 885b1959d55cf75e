package org.endivehold.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.endivehold.config.Customer;
import org.endivehold.misc.RequestId;

/**
 * An authenticated request of a caller.
 *
 * @param id the id of the request
 * @param http the HTTP request
 * @param customer the customer whose API key the caller sent
 * @param configuration API keys and routes of the configuration that was in force on arrival
 * @param arrivedAtMillis monotonic time of arrival in milliseconds
 * @param body reads the body and holds its share of the byte budget
 */
record Exchange(
        RequestId id,
        HttpServerRequest http,
        Customer customer,
        CallerConfiguration configuration,
        long arrivedAtMillis,
        BodyReader body) {
    HttpServerResponse response() {
        return http.response();
    }
}
