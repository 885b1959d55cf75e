package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a fault of this daemon that would write a response that HTTP does not allow: the HTTP library writes
 * an impossible status as it is, and fails on an impossible field without any response.
 */
class InvalidResponseTest {
    private static final int LIMIT_SECONDS = 10;

    private static MultiMap headers(String name, String value) {
        return MultiMap.caseInsensitiveMultiMap().add(name, value);
    }

    /** Writes a response and a stream, and returns what reached their channels. */
    private static List<String> written(RelayFixture relay, int status, MultiMap headers) throws Exception {
        RecordingChannel channel = new RecordingChannel();
        CompletableFuture<Void> done = new CompletableFuture<>();
        relay.vertx().runOnContext(turn -> {
            exchange(relay, channel).respond(status, headers, Buffer.buffer("body"));
            Exchange stream = exchange(relay, channel);
            stream.beginStream(status, headers);
            stream.writeEvent(Buffer.buffer("data: x\n\n"));
            stream.completeStream(Buffer.buffer());
            done.complete(null);
        });
        done.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        return channel.written;
    }

    private static Exchange exchange(RelayFixture relay, ResponseChannel channel) {
        CallerRequestHead head = new CallerRequestHead(
                "a", OptionalLong.empty(), Optional.empty(), 0, 0, List.of(), OptionalLong.empty());
        Exchange exchange = new Exchange(relay.context(), channel, head, () -> {});
        exchange.admit(relay.table().orElseThrow().route("h", "/stream/x").orElseThrow(), Optional.empty(), () -> {});
        return exchange;
    }

    @ParameterizedTest
    @CsvSource({"0, x, 1", "102, x, 1", "600, x, 1", "200, x bad, 1", "200, x, ev\u0001il"})
    void anInvalidResponseIsReplacedByAFailure(int status, String name, String value) throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            assertEquals(
                    List.of("failure 502 invalid-answer", "failure 502 invalid-answer"),
                    written(relay, status, headers(name, value)));
            assertEquals(2, relay.invalidAnswers());
        }
    }

    @ParameterizedTest
    @CsvSource({"200, x, 1", "404, x, ''", "599, X-Name_1, two words"})
    void aValidResponseIsWritten(int status, String name, String value) throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            assertEquals(
                    List.of("response " + status, "stream " + status, "events", "end"),
                    written(relay, status, headers(name, value)));
            assertEquals(0, relay.invalidAnswers());
        }
    }
}
