package org.endivehold.daemon.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.junit.jupiter.api.Test;

class GenerationServiceTest {
    private static final long WAIT_SECONDS = 20;

    @Test
    void answersAndReleasesThePermit() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1")) {
            RecordingSink sink = fixture.submit(fixture.call("hello", 4, 10_000));
            sink.done.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertEquals("abcd", sink.text.toString());
            assertEquals(List.of(), fixture.capacity.held);
            assertEquals(List.of(), fixture.capacity.doubleReleases);
        }
    }

    @Test
    void waitsForAFreeSlotAndRefusesAtTheDeadline() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1")) {
            fixture.capacity.slots.replaceAll((name, count) -> 0);
            RecordingSink sink = fixture.submit(fixture.call("hello", 4, 50));
            EndiveholdException failure = failure(sink);
            assertEquals(RunOutcome.NO, failure.run());
            assertEquals(List.of(), fixture.engine("e1").started);
        }
    }

    @Test
    void cancelsUpstreamAtTheDeadline() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1")) {
            fixture.engine("e1").onStart = (from, max, listener) -> FakeEngine.pieces(from, 2, listener);
            RecordingSink sink = fixture.submit(fixture.call("hello", 4, 100));
            EndiveholdException failure = failure(sink);
            assertEquals(ErrorType.DEADLINE_EXCEEDED, failure.type());
            assertEquals(RunOutcome.PARTIAL, failure.run());
            assertTrue(fixture.engine("e1").cancelled.size() > 0);
            assertEquals(List.of(), fixture.capacity.held);
        }
    }

    @Test
    void cancelsUpstreamWhenTheCallerIsGone() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1")) {
            fixture.engine("e1").onStart = (from, max, listener) -> {};
            RecordingSink sink = new RecordingSink();
            fixture.onLoop(() -> {
                fixture.service.submit(fixture.call("hello", 4, 10_000), sink).run();
                return Future.succeededFuture();
            });
            assertTrue(fixture.engine("e1").cancelled.size() > 0);
            assertEquals(List.of(), fixture.capacity.held);
            assertEquals(0, sink.ends);
        }
    }

    @Test
    void sendsNothingToAZoneThatIsOut() throws Exception {
        try (GenerationFixture fixture = new GenerationFixture("e1")) {
            fixture.zoneState = AvailabilityZone.State.OUT;
            EndiveholdException failure = failure(fixture.submit(fixture.call("hello", 4, 100)));
            assertEquals(RunOutcome.NO, failure.run());
            assertEquals(List.of(), fixture.engine("e1").started);
        }
    }

    static EndiveholdException failure(RecordingSink sink) {
        ExecutionException thrown =
                assertThrows(ExecutionException.class, () -> sink.done.get(WAIT_SECONDS, TimeUnit.SECONDS));
        return EndiveholdException.unwrap(thrown);
    }
}
