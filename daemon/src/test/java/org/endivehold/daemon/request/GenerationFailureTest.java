package org.endivehold.daemon.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.RequestClass;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamListener;
import org.endivehold.upstream.StreamPiece;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests failed and late streams, prompts split over several engines, and reattachment. */
class GenerationFailureTest {
    private static final long WAIT_SECONDS = 20;

    private static EndiveholdException failure(RunOutcome run, ErrorType type) {
        return new EndiveholdException(run, type, "e", "x");
    }

    private static void failAll(GenerationFixture fixture, RunOutcome run, ErrorType type) {
        for (FakeEngine engine : fixture.engines.values()) {
            engine.accepts = false;
            engine.onStart = (from, max, listener) -> listener.failed(failure(run, type));
        }
    }

    private static void assertClean(GenerationFixture fixture) {
        assertEquals(List.of(), fixture.capacity.held);
        assertEquals(List.of(), fixture.capacity.doubleReleases);
    }

    private static int starts(GenerationFixture fixture) {
        return fixture.engines.values().stream().mapToInt(e -> e.started.size()).sum();
    }

    @Test
    void aBrokenStreamIsResumedAtItsOffset() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1")) {
            FakeEngine engine = fixture.engine("e1");
            engine.onStart = (from, max, listener) -> {
                FakeEngine.pieces(0, 3, listener);
                listener.failed(failure(RunOutcome.UNKNOWN, ErrorType.UPSTREAM_BROKEN));
            };
            engine.onResume = (from, max, listener) -> {
                FakeEngine.pieces(1, 6, listener);
                listener.finished(new StreamEnd("length", 1, 6));
            };
            RecordingSink sink = fixture.submit(fixture.call("hello", 6, 10_000));
            sink.done.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertEquals("abcdef", sink.text.toString());
            assertEquals(List.of(3L), engine.resumedAt);
            assertClean(fixture);
        }
    }

    @Test
    void aLostStreamContinuesOnAnotherEngineAfterTheDeliveredText() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1", "e2")) {
            FakeEngine.Script breaksAfterThreeTokens = (from, max, listener) -> {
                if (from > 0) {
                    FakeEngine.answerAll(from, max, listener);
                    return;
                }
                FakeEngine.pieces(0, 3, listener);
                listener.failed(failure(RunOutcome.UNKNOWN, ErrorType.UPSTREAM_BROKEN));
            };
            fixture.engines.values().forEach(e -> {
                e.onStart = breaksAfterThreeTokens;
                e.onResume = (from, max, listener) -> listener.failed(failure(RunOutcome.NO, ErrorType.STREAM_UNKNOWN));
            });
            RecordingSink sink = fixture.submit(fixture.call("hello", 6, 10_000));
            sink.done.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertEquals("abcdef", sink.text.toString());
            List<GenerateRequest> requests = fixture.engines.values().stream()
                    .flatMap(e -> e.started.stream())
                    .filter(r -> r.deliveredTokens() > 0)
                    .toList();
            assertEquals(1, requests.size());
            assertEquals("abc", requests.get(0).delivered());
            assertEquals(1, fixture.engine("e1").started.size());
            assertEquals(1, fixture.engine("e2").started.size());
            assertClean(fixture);
        }
    }

    @Test
    void latePiecesOfAnAbandonedStreamAreDropped() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1", "e2")) {
            failAll(fixture, RunOutcome.NO, ErrorType.UPSTREAM_REFUSED);
            fixture.engine("e1").onStart =
                    (from, max, listener) -> listener.failed(failure(RunOutcome.NO, ErrorType.UPSTREAM_REFUSED));
            fixture.engine("e2").onStart = (from, max, listener) -> FakeEngine.pieces(0, 2, listener);
            fixture.capacity.slots.put(new UpstreamName("e1"), 3);
            RecordingSink sink = fixture.submit(fixture.call("hello", 4, 10_000));
            while (fixture.engine("e2").started.isEmpty()) {
                fixture.onLoop(Future::succeededFuture);
            }
            fixture.onLoop(() -> {
                for (StreamListener late : fixture.engine("e1").listeners) {
                    late.piece(new StreamPiece(2, 1, "X"));
                    late.finished(new StreamEnd("stop", 1, 3));
                }
                FakeEngine.pieces(2, 4, fixture.engine("e2").listeners.get(0));
                fixture.engine("e2").listeners.get(0).finished(new StreamEnd("length", 1, 4));
                return Future.succeededFuture();
            });
            sink.done.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertEquals("abcd", sink.text.toString());
            assertClean(fixture);
        }
    }

    @Test
    void anEndWithMissingTokensDoesNotCompleteTheAnswer() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1")) {
            fixture.engine("e1").onStart = (from, max, listener) -> {
                FakeEngine.pieces(0, 2, listener);
                listener.finished(new StreamEnd("length", 1, 4));
            };
            fixture.engine("e1").onResume = (from, max, listener) -> FakeEngine.answerAll(from, 4, listener);
            RecordingSink sink = fixture.submit(fixture.call("hello", 4, 10_000));
            sink.done.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertEquals("abcd", sink.text.toString());
            assertClean(fixture);
        }
    }

    @Test
    void refusalsByEveryEngineFailAtOnceAsNotRun() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1", "e2")) {
            failAll(fixture, RunOutcome.NO, ErrorType.UPSTREAM_REFUSED);
            RecordingSink sink = fixture.submit(fixture.call("hello", 4, 60_000));
            EndiveholdException failure = GenerationServiceTest.failure(sink);
            assertEquals(ErrorType.RETRIES_EXHAUSTED, failure.type());
            assertEquals(RunOutcome.NO, failure.run());
            assertTrue(sink.retryAfterMillis > 0);
            assertEquals(4, starts(fixture));
            assertClean(fixture);
        }
    }

    @Test
    void aRunThatMayHaveHappenedIsNotReportedAsNotRun() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1")) {
            FakeEngine engine = fixture.engine("e1");
            engine.onStart =
                    (from, max, listener) -> listener.failed(failure(RunOutcome.UNKNOWN, ErrorType.UPSTREAM_BROKEN));
            engine.onResume =
                    (from, max, listener) -> listener.failed(failure(RunOutcome.NO, ErrorType.UPSTREAM_UNREACHABLE));
            EndiveholdException failure =
                    GenerationServiceTest.failure(fixture.submit(fixture.call("hello", 4, 60_000)));
            assertEquals(RunOutcome.UNKNOWN, failure.run());
            assertClean(fixture);
        }
    }

    @Test
    void aPromptLargerThanOneEngineIsSplitAndItsCachesAreReleased() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1", "e2", "e3")) {
            fixture.capacity.memoryTokens = 100;
            String prompt = "0123456789".repeat(100);
            GenerationCall call =
                    fixture.call(GenerationFixture.route(RequestClass.INTERACTIVE, 50), prompt, 4, 10_000);
            RecordingSink sink = fixture.submit(call);
            sink.done.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertEquals("abcd", sink.text.toString());
            List<CacheHandle> exported = exported(fixture);
            assertEquals(2, exported.size());
            assertEquals(200, exported.stream().mapToLong(CacheHandle::tokens).sum());
            assertEquals(exported, released(fixture));
            assertClean(fixture);
        }
    }

    private static List<CacheHandle> exported(GenerationFixture fixture) {
        return fixture.engines.values().stream()
                .flatMap(e -> e.exported.stream())
                .toList();
    }

    private static List<CacheHandle> released(GenerationFixture fixture) {
        return fixture.engines.values().stream()
                .flatMap(e -> e.released.stream())
                .toList();
    }

    @Test
    void exportedCachesAreReleasedWhenTheLastPartFails() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1", "e2", "e3")) {
            fixture.capacity.memoryTokens = 100;
            failAll(fixture, RunOutcome.NO, ErrorType.UPSTREAM_REFUSED);
            String prompt = "0123456789".repeat(100);
            GenerationCall call =
                    fixture.call(GenerationFixture.route(RequestClass.INTERACTIVE, 50), prompt, 4, 10_000);
            EndiveholdException failure = GenerationServiceTest.failure(fixture.submit(call));
            assertEquals(ErrorType.RETRIES_EXHAUSTED, failure.type());
            assertEquals(8, exported(fixture).size());
            assertEquals(exported(fixture), released(fixture));
            assertClean(fixture);
        }
    }

    /** Guards against sending further parts of a split prompt to a zone that is taken out of service meanwhile. */
    @Test
    void noFurtherPartStartsInAZoneTakenOutOfService() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1", "e2", "e3")) {
            fixture.capacity.memoryTokens = 100;
            fixture.engines.values().forEach(e -> e.onExport = () -> fixture.zoneState = AvailabilityZone.State.OUT);
            String prompt = "0123456789".repeat(100);
            GenerationCall call = fixture.call(GenerationFixture.route(RequestClass.INTERACTIVE, 50), prompt, 4, 500);
            GenerationServiceTest.failure(fixture.submit(call));
            assertEquals(1, exported(fixture).size());
            assertEquals(exported(fixture), released(fixture));
            assertClean(fixture);
        }
    }

    @Test
    void aPromptLargerThanAllEnginesIsRefusedWithTheMaximumLength() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1", "e2")) {
            fixture.capacity.memoryTokens = 100;
            String prompt = "0123".repeat(300);
            GenerationCall call =
                    fixture.call(GenerationFixture.route(RequestClass.INTERACTIVE, 50), prompt, 4, 10_000);
            EndiveholdException failure = GenerationServiceTest.failure(fixture.submit(call));
            assertEquals(ErrorType.PROMPT_TOO_LONG, failure.type());
            assertEquals("the prompt has 300 tokens; the longest that can be served has 196", failure.getMessage());
        }
    }

    @Test
    void anotherDaemonContinuesAStream(@TempDir Path folder) throws Exception {
        Path secret = Files.writeString(folder.resolve("secret"), "0123456789abcdef");
        String token;
        try (GenerationFixture first = GenerationFixture.withSecret(secret.toString(), "e1")) {
            first.engine("e1").onStart = (from, max, listener) -> FakeEngine.pieces(0, 3, listener);
            RecordingSink sink = first.submit(first.call("hello", 26, 10_000));
            token = sink.token;
        }
        try (GenerationFixture second = GenerationFixture.withSecret(secret.toString(), "e1")) {
            assertEquals(
                    "defghijklmnopqrstuvwxyz", reattach(second, token, 3).text.toString());
            assertEquals(List.of(3L), second.engine("e1").resumedAt);
            String forged = token.replaceFirst("\\.[A-Za-z0-9_-]", ".");
            RecordingSink refused = new RecordingSink(3);
            second.onLoop(() -> {
                second.service.reattach(forged, 3, refused);
                return Future.succeededFuture();
            });
            assertEquals(
                    ErrorType.STREAM_UNKNOWN,
                    GenerationServiceTest.failure(refused).type());
            assertClean(second);
        }
    }

    private static RecordingSink reattach(GenerationFixture fixture, String token, long offset) throws Exception {
        RecordingSink sink = new RecordingSink(offset);
        fixture.onLoop(() -> {
            fixture.service.reattach(token, offset, sink);
            return Future.succeededFuture();
        });
        sink.done.get(WAIT_SECONDS, TimeUnit.SECONDS);
        return sink;
    }
}
