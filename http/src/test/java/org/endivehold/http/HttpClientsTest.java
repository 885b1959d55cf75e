package org.endivehold.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.endivehold.standin.raw.RawStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What a client takes for an answer, and how it uses its connections, against a server that sends fixed bytes. */
class HttpClientsTest {
    private static final long LIMIT_SECONDS = 10;
    /** More than the buffers of a loopback connection hold, in bytes. */
    private static final int LONG_BODY_BYTES = 8_000_000;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client =
            HttpClients.create(vertx, new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1));

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns the status and body of an answer. */
    private Future<String> call(RawStandin server, HttpMethod method, Buffer body) {
        return client.request(method, server.port(), "127.0.0.1", "/")
                .compose(request -> request.send(body))
                .compose(head -> head.body().map(bytes -> head.statusCode() + " " + bytes));
    }

    private Throwable failure(RawStandin server) {
        Future<String> call = call(server, HttpMethod.POST, Buffer.buffer("x"));
        return assertThrows(ExecutionException.class, () -> await(call)).getCause();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
            })
    void aConnectionIsUsedForOneAnswerAfterAnother(String answer) throws Exception {
        try (RawStandin server = new RawStandin(answer, RawStandin.End.KEEP_OPEN)) {
            for (int i = 0; i < 3; i++) {
                assertEquals("200 good", await(call(server, HttpMethod.POST, Buffer.buffer("x"))));
            }
            assertEquals(1, server.connections());
        }
    }

    @ParameterizedTest
    @CsvSource({"HEAD, 200 OK", "GET, 304 Not Modified"})
    void anAnswerThatOnlyNamesALengthHasNoBody(String method, String status) throws Exception {
        String answer = "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\n";
        try (RawStandin server = new RawStandin(answer, RawStandin.End.KEEP_OPEN)) {
            String expected = status.substring(0, 3) + " ";
            assertEquals(expected, await(call(server, HttpMethod.valueOf(method), Buffer.buffer())));
            assertEquals(expected, await(call(server, HttpMethod.valueOf(method), Buffer.buffer())));
            assertEquals(1, server.connections());
        }
    }

    @Test
    void anAnswerWithoutLengthEndsWithItsConnection() throws Exception {
        try (RawStandin server = new RawStandin("HTTP/1.1 200 OK\r\n\r\ngood", RawStandin.End.CLOSE)) {
            assertEquals("200 good", await(call(server, HttpMethod.POST, Buffer.buffer("x"))));
        }
    }

    @Test
    void anInvalidHeadFailsTheCallAndClosesTheConnection() throws Exception {
        try (RawStandin server = new RawStandin("HTTP/1.1 000 \r\n\r\n", RawStandin.End.KEEP_OPEN)) {
            for (int i = 1; i <= 3; i++) {
                assertEquals(
                        HeadPart.STATUS,
                        InvalidAnswerException.find(failure(server))
                                .orElseThrow()
                                .part());
                assertEquals(i, server.connections());
            }
        }
    }

    /** Bytes after a complete answer belong to no request, also if they would be a valid answer to the next one. */
    @ParameterizedTest
    @ValueSource(strings = {"bytes that are no answer\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"})
    void bytesAfterAnAnswerAreNotTakenForTheNext(String rest) throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood" + rest;
        try (RawStandin server = new RawStandin(answer, RawStandin.End.KEEP_OPEN)) {
            for (int i = 0; i < 3; i++) {
                String received =
                        await(call(server, HttpMethod.POST, Buffer.buffer("x")).otherwise("failed"));
                assertFalse(received.contains("evil"), received);
            }
        }
    }

    /**
     * An answer without a length that came before the request was written, and whose connection was reset then: the
     * failed write closes the connection, and its end looks like that of the answer.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "part of a body"})
    void anAnswerWithoutLengthIsNotCompleteIfTheRequestCouldNotBeWritten(String part) throws Exception {
        try (RawStandin server = new RawStandin("HTTP/1.1 200 OK\r\n\r\n" + part, RawStandin.End.RESET_DURING_UPLOAD)) {
            Future<String> call = call(server, HttpMethod.POST, Buffer.buffer(new byte[LONG_BODY_BYTES]));
            assertThrows(ExecutionException.class, () -> await(call));
        }
    }
}
