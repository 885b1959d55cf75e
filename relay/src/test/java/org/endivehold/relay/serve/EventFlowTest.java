package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * One block of bytes with tens of thousands of events held the event loop, and each event was a write of its own; a
 * caller that did not read filled the memory. The events go out in turns, and only as far as the caller takes them.
 */
class EventFlowTest {
    private static final int LIMIT_SECONDS = 10;
    private static final int EVENTS = 20_000;
    private static final int MAX_EVENTS_PER_TURN = 256;
    private static final Buffer BLOCK = Buffer.buffer(":\n\n".repeat(EVENTS));

    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final FakeSide side = new FakeSide();
    private final EventFlow flow = new EventFlow(vertx, () -> side.now, side, side, side);

    /** Source, caller and listener of the flow. */
    private static final class FakeSide implements EventFlow.Source, EventFlow.Sink, EventFlow.Listener {
        private final List<Integer> writes = new ArrayList<>();
        private long now;
        private int unwritten;
        private boolean paused;
        private boolean congested;
        private boolean oversized;
        private Runnable onDrained = () -> {};

        @Override
        public void pause() {
            assertFalse(paused);
            paused = true;
        }

        @Override
        public void resume() {
            assertTrue(paused);
            paused = false;
        }

        @Override
        public void flushEvents() {
            if (unwritten > 0) {
                writes.add(unwritten);
                unwritten = 0;
            }
        }

        @Override
        public boolean isCongested() {
            return congested;
        }

        @Override
        public void onDrained(Runnable action) {
            onDrained = action;
        }

        @Override
        public void event(OptionalLong id, Buffer bytes) {
            unwritten++;
        }

        @Override
        public void oversized() {
            oversized = true;
        }

        int written() {
            return writes.stream().mapToInt(Integer::intValue).sum();
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Runs a step on the event loop; what it schedules there runs after it. */
    private void run(Runnable step) throws Exception {
        Promise<Void> done = Promise.promise();
        loop.runOnContext(ignored -> {
            try {
                step.run();
                done.complete();
            } catch (AssertionError e) {
                done.fail(e);
            }
        });
        done.future().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void aBlockIsPassedOnInTurns() throws Exception {
        Promise<Void> drained = Promise.promise();
        run(() -> {
            flow.feed(BLOCK);
            assertEquals(MAX_EVENTS_PER_TURN, side.written());
            assertTrue(side.paused);
            flow.whenDrained(drained::complete);
        });
        drained.future().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        run(() -> {
            assertEquals(EVENTS, side.written());
            assertEquals((EVENTS + MAX_EVENTS_PER_TURN - 1) / MAX_EVENTS_PER_TURN, side.writes.size());
            assertFalse(side.paused);
        });
    }

    @Test
    void nothingIsReadOrWrittenWhileTheCallerDoesNotRead() throws Exception {
        run(() -> {
            side.congested = true;
            flow.feed(Buffer.buffer(":\n\n"));
            assertTrue(side.paused);
            flow.feed(BLOCK);
            assertEquals(1, side.written());
            side.now = 700;
            assertEquals(700, flow.heldBackUntil());
            side.congested = false;
            side.onDrained.run();
        });
        Promise<Void> drained = Promise.promise();
        run(() -> flow.whenDrained(drained::complete));
        drained.future().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        run(() -> {
            assertEquals(EVENTS + 1, side.written());
            assertFalse(side.paused);
            side.now = 900;
            assertEquals(700, flow.heldBackUntil());
        });
    }

    @Test
    void nothingIsPassedOnAfterTheStop() throws Exception {
        run(() -> {
            flow.feed(BLOCK);
            flow.stop();
        });
        run(() -> assertEquals(MAX_EVENTS_PER_TURN, side.written()));
    }

    @Test
    void bytesWithoutEndThatAreNoEventAreOversized() throws Exception {
        run(() -> {
            Buffer emptyLines = Buffer.buffer("\n".repeat(1 << 16));
            for (int i = 0; i < EventFlow.MAX_EVENT_BYTES / emptyLines.length(); i++) {
                flow.feed(emptyLines);
                assertFalse(side.oversized);
            }
            flow.feed(emptyLines);
            assertTrue(side.oversized);
            assertEquals(0, side.written());
        });
    }
}
