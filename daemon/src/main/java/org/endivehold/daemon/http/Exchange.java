package org.endivehold.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.endivehold.config.Customer;
import org.endivehold.misc.RequestId;

/**
 * One request of a caller with its identity.
 *
 * @param id the request
 * @param http the HTTP request
 * @param customer who asks
 * @param directory keys and routes of the configuration that was in force on arrival
 * @param arrivedAt monotonic time of arrival in milliseconds
 * @param body reads and holds the body
 */
record Exchange(
        RequestId id,
        HttpServerRequest http,
        Customer customer,
        CallerDirectory directory,
        long arrivedAt,
        BodyReader body) {
    HttpServerResponse response() {
        return http.response();
    }
}
