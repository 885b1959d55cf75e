package org.endivehold.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/**
 * Creates the HTTP clients of this project. A call fails with an {@link InvalidAnswerException} if the head of its
 * answer is invalid, and with another failure if the connection ends before the request has been written.
 */
public final class HttpClients {
    private HttpClients() {}

    /**
     * Creates a client.
     *
     * @param vertx runs the client
     * @param options options of its connections
     * @param pool options of its pool
     * @return the client
     */
    public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
        HttpClientOptions limited = new HttpClientOptions(options)
                .setMaxInitialLineLength(HeadReader.MAX_HEAD_BYTES)
                .setMaxHeaderSize(HeadReader.MAX_HEAD_BYTES);
        return vertx.httpClientBuilder()
                .with(limited)
                .with(pool)
                .withConnectHandler(AnswerGuard::install)
                .build();
    }
}
