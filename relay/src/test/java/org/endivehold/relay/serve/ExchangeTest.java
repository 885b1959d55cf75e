package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.endivehold.error.ErrorType;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A response whose parts come in the wrong order, or whose last write fails. The request counted as ended, without a
 * timeout, while its caller's connection stayed open; or the caller got a success that no upstream had sent.
 */
class ExchangeTest {
    private static final int LIMIT_SECONDS = 10;
    private static final MultiMap NO_HEADERS = MultiMap.caseInsensitiveMultiMap();
    private static final Buffer EMPTY = Buffer.buffer();

    private final RecordingChannel channel = new RecordingChannel();

    /** Fails to handle any notification. */
    private static final class FaultyListener implements UpstreamAttempt.Listener {
        @Override
        public void notSent(Throwable cause) {
            throw new IllegalStateException("not sent");
        }

        @Override
        public void head(AnswerFacts head, MultiMap headers) {
            throw new IllegalStateException("head");
        }

        @Override
        public void data(Buffer bytes) {
            throw new IllegalStateException("data");
        }

        @Override
        public void complete() {
            throw new IllegalStateException("complete");
        }

        @Override
        public void broken(Throwable cause) {
            throw new IllegalStateException("broken");
        }
    }

    private static Arguments row(String written, Consumer<Exchange> calls) {
        return Arguments.of(written, calls);
    }

    static Stream<Arguments> calls() {
        return Stream.of(
                row("stream 200, broken off", x -> {
                    x.beginStream(200, NO_HEADERS);
                    x.respond(500, NO_HEADERS, EMPTY);
                }),
                row("stream 200, events, broken off", x -> {
                    x.beginStream(200, NO_HEADERS);
                    x.writeEvent(Buffer.buffer("data: a\n\n"));
                    x.respond(200, NO_HEADERS, Buffer.buffer("whole"));
                }),
                row("stream 200, end", x -> {
                    x.beginStream(200, NO_HEADERS);
                    x.beginStream(200, NO_HEADERS);
                    x.completeStream(EMPTY);
                }),
                row("stream 200, broken off", x -> {
                    x.beginStream(200, NO_HEADERS);
                    x.refuse(ErrorType.NO_UPSTREAM, 100);
                }),
                row("failure 502 upstream-broken", x -> x.completeStream(EMPTY)),
                row("failure 502 upstream-broken", x -> x.respond(408, NO_HEADERS, EMPTY)),
                row("failure 502 upstream-broken", x -> x.respond(421, NO_HEADERS, EMPTY)),
                row("failure 502 upstream-broken", x -> x.respond(429, NO_HEADERS, EMPTY)),
                row("failure 502 upstream-broken", x -> x.respond(503, NO_HEADERS, EMPTY)),
                row("response 200", x -> {
                    x.respond(200, NO_HEADERS, EMPTY);
                    x.beginStream(200, NO_HEADERS);
                    x.completeStream(EMPTY);
                    x.respond(500, NO_HEADERS, EMPTY);
                    x.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
                }),
                row(
                        "failure 502 internal",
                        x -> x.runGuarded(() -> {
                            throw new IllegalStateException("a fault of this daemon");
                        })),
                row("stream 200, broken off", x -> {
                    x.beginStream(200, NO_HEADERS);
                    x.runGuarded(() -> {
                        throw new IllegalStateException("a fault of this daemon");
                    });
                }));
    }

    @ParameterizedTest(name = "{index}: {0}")
    @MethodSource("calls")
    void aCallInTheWrongStateEndsTheResponseAsFailed(String written, Consumer<Exchange> calls) throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            run(relay, calls, () -> {});
            assertEquals(written, String.join(", ", channel.written));
        }
    }

    static Stream<Arguments> ends() {
        return Stream.of(
                row("", x -> x.respond(200, NO_HEADERS, EMPTY)),
                row("", x -> x.fail(502, ErrorType.UPSTREAM_BROKEN, 0)),
                row("stream 200, ", x -> x.completeStream(EMPTY)),
                row("stream 200, ", x -> x.completeStream(Buffer.buffer("\n"))),
                row("stream 200, ", x -> {
                    x.writeEvent(Buffer.buffer("data: a\n\n"));
                    x.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
                }));
    }

    @ParameterizedTest(name = "{index}: after {0}")
    @MethodSource("ends")
    void aLastWriteThatFailsClosesTheConnection(String before, Consumer<Exchange> lastWrite) throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            Exchange exchange = run(
                    relay,
                    x -> {
                        if (!before.isEmpty()) {
                            x.beginStream(200, NO_HEADERS);
                        }
                        channel.failing = true;
                        lastWrite.accept(x);
                    },
                    () -> {});
            assertEquals(before + "broken off", String.join(", ", channel.written));
            assertTrue(exchange.ended());
        }
    }

    /** Each notification of an attempt is handled by code that may throw; its request fails at once. */
    @Test
    void aRequestFailsAtOnceIfANotificationOfItsAttemptIsNotHandled() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            run(relay, x -> new GuardedListener(x, new FaultyListener()).notSent(new IOException()), () -> {});
            run(relay, x -> new GuardedListener(x, new FaultyListener()).head(null, NO_HEADERS), () -> {});
            run(relay, x -> new GuardedListener(x, new FaultyListener()).data(EMPTY), () -> {});
            run(relay, x -> new GuardedListener(x, new FaultyListener()).complete(), () -> {});
            run(relay, x -> new GuardedListener(x, new FaultyListener()).broken(new IOException()), () -> {});
            assertEquals(Collections.nCopies(5, "failure 502 internal"), channel.written);
        }
    }

    @Test
    void theCallerIsAnsweredAtTheTimeoutEvenIfTheHandlerFailsToStop() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            CompletableFuture<Void> stopped = new CompletableFuture<>();
            run(relay, x -> {}, () -> {
                stopped.complete(null);
                throw new IllegalStateException("a fault of this daemon");
            });
            stopped.get(LIMIT_SECONDS, TimeUnit.SECONDS);
            onEventLoop(relay, () -> {});
            assertEquals(List.of("failure 504 deadline-exceeded"), channel.written);
        }
    }

    /** Runs calls on an exchange on the event loop, and returns the exchange. */
    private Exchange run(RelayFixture relay, Consumer<Exchange> calls, Runnable onCancel) throws Exception {
        CompletableFuture<Exchange> done = new CompletableFuture<>();
        onEventLoop(relay, () -> {
            CallerRequestHead head = new CallerRequestHead(
                    "a", OptionalLong.empty(), Optional.empty(), 0, 0, List.of(), OptionalLong.empty());
            Exchange exchange = new Exchange(relay.context(), channel, head, () -> {});
            exchange.admit(
                    relay.table().orElseThrow().route("h", "/stream/x").orElseThrow(), Optional.empty(), onCancel);
            calls.accept(exchange);
            done.complete(exchange);
        });
        return done.get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private static void onEventLoop(RelayFixture relay, Runnable step) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        relay.vertx().runOnContext(turn -> {
            try {
                step.run();
                done.complete(null);
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        done.get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
