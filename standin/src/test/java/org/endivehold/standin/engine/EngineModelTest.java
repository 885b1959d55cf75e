package org.endivehold.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.standin.log.StandinEvent;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.ResourceOwner;
import org.endivehold.upstream.protocol.CompletionBody;
import org.endivehold.upstream.protocol.ErrorBody;
import org.endivehold.upstream.protocol.OrderBody;
import org.junit.jupiter.api.Test;

class EngineModelTest {
    private static final long MILLI = 1_000_000L;
    private static final VersionName VERSION = new VersionName("v1");

    private final StandinLog log = new StandinLog();
    private final EngineModel engine = engine(true);

    private EngineModel engine(boolean checksFencing) {
        EngineParameters parameters = EngineParameters.builder("e1", "z1", "v1")
                .slots(8, 2)
                .memory(20_000)
                .prefill(1_000)
                .step(10_000, 1_000)
                .cold(1_000, 500)
                .checksFencing(checksFencing)
                .build();
        return new EngineModel(parameters, log, 0, generation -> {});
    }

    private static CompletionBody body(String id, int promptTokens, int maxTokens, int priority) {
        String prompt = (id + "x".repeat(promptTokens * 4)).substring(0, promptTokens * 4);
        return body(id, prompt, maxTokens, priority, List.of());
    }

    private static CompletionBody body(
            String id, String prompt, int maxTokens, int priority, List<CacheHandle> attached) {
        return new CompletionBody(
                VERSION,
                prompt,
                maxTokens,
                true,
                priority,
                new StreamId(id),
                new ResourceOwner(new HostId("h1"), new Incarnation(1)),
                Optional.empty(),
                "",
                0,
                attached);
    }

    private ErrorBody.Code refusal(CompletionBody body, long now) {
        EngineRefusal refusal = assertThrows(EngineRefusal.class, () -> engine.accept(body, false, now));
        assertFalse(refusal.body().error().started());
        return refusal.body().error().code();
    }

    @Test
    void prefillsThenDecodesAndFreesMemory() throws EngineRefusal {
        Generation generation = engine.accept(body("a", 1_000, 3, 0), false, 0);
        engine.advance(999 * MILLI);
        assertEquals(0, generation.producedTokens);
        engine.advance(1_010 * MILLI);
        assertEquals(1, generation.producedTokens);
        assertEquals(1_003, engine.usedTokens());
        engine.advance(1_030 * MILLI);
        assertEquals(Optional.of("length"), generation.result);
        assertEquals(0, engine.usedTokens());
    }

    @Test
    void choosesTheHigherPriorityBetweenChunks() throws EngineRefusal {
        Generation slow = engine.accept(body("long", 8_192, 1, 0), false, 0);
        Generation urgent = engine.accept(body("short", 100, 1, 5), false, MILLI);
        engine.advance(4_096 * MILLI + 110 * MILLI);
        assertTrue(urgent.result.isPresent());
        assertFalse(slow.result.isPresent());
    }

    @Test
    void refusesWhatExceedsMemoryAsNotStarted() throws EngineRefusal {
        engine.accept(body("a", 15_000, 16, 0), false, 0);
        assertEquals(ErrorBody.Code.MEMORY, refusal(body("b", 5_000, 16, 0), 1));
        assertEquals(1, log.events(StandinEvent.MemoryRefused.class).size());
    }

    @Test
    void crashesInColdStartAndRestartsWithAnotherBootNumber() throws EngineRefusal {
        engine.restart(0, false);
        Generation first = engine.accept(body("a", 10, 500, 0), false, 1);
        for (int i = 0; i < 4; i++) {
            engine.accept(body("b" + i, 10, 500, 0), false, 2 + i);
        }
        assertTrue(first.broken);
        assertEquals(3, engine.boot().value());
        assertEquals(3, log.events(StandinEvent.Overload.class).size());
        assertEquals(0, engine.usedTokens());
        assertEquals(ErrorBody.Code.STARTING, refusal(body("c", 10, 5, 0), 10));
        assertTrue(engine.accept(body("d", 10, 5, 0), false, 600 * MILLI).promptTokens > 0);
    }

    @Test
    void cancelFreesMemoryOnce() throws EngineRefusal {
        engine.accept(body("a", 1_000, 3, 0), false, 0);
        engine.cancel("a", 5);
        engine.cancel("a", 6);
        engine.cancel("unknown", 7);
        assertEquals(0, engine.usedTokens());
        assertEquals(1, log.events(StandinEvent.Ended.class).size());
    }

    @Test
    void refusesOutdatedOrdersOnlyIfItChecksFencing() throws EngineRefusal {
        EngineModel unfenced = engine(false);
        for (EngineModel each : List.of(engine, unfenced)) {
            each.order(order(5), 0);
            each.order(order(5), 1);
        }
        EngineRefusal refusal = assertThrows(EngineRefusal.class, () -> engine.order(order(4), 2));
        assertEquals(ErrorBody.Code.FENCED, refusal.body().error().code());
        unfenced.order(order(4), 2);
    }

    private static OrderBody order(long epoch) {
        return new OrderBody(
                OrderBody.Kind.LOAD_VERSION,
                new Epoch(epoch),
                Optional.of(VERSION),
                Optional.empty(),
                Optional.empty());
    }

    @Test
    void findsSharedPrefixesAndReportsThemLate() throws EngineRefusal {
        String shared = "s".repeat(4 * 512);
        engine.accept(body("a", shared + "one", 1, 0, List.of()), false, 0);
        engine.advance(600 * MILLI);
        Generation second = engine.accept(body("b", shared + "two", 1, 0, List.of()), false, 600 * MILLI);
        assertEquals(512, second.cachedTokens);
        assertEquals(0, engine.cacheEvents(0, 600 * MILLI).size());
        assertEquals(2, engine.cacheEvents(0, 2_000 * MILLI).size());
    }

    @Test
    void answersFromAttachedCachesOfTheSamePromptOnly() throws EngineRefusal {
        String part = "p".repeat(4 * 600);
        Generation export = engine.accept(body("leg", part, 1, 0, List.of()), true, 0);
        engine.advance(600 * MILLI);
        CacheHandle handle = new CacheHandle(new UpstreamName("e1"), export.result.orElseThrow(), 600);
        assertEquals(600, engine.usedTokens());
        assertEquals(
                ErrorBody.Code.MALFORMED, refusal(body("x", "q".repeat(4 * 700), 1, 0, List.of(handle)), 600 * MILLI));
        assertEquals(1, log.events(StandinEvent.Crossed.class).size());
        Generation whole = engine.accept(body("w", part + "tail", 1, 0, List.of(handle)), false, 600 * MILLI);
        assertEquals(1, whole.unattachedTokens);
        assertEquals(GroundTruth.of(part + "tail").token(0), whole.expectedAnswer.token(0));
        engine.release(handle.id());
        engine.release(handle.id());
        engine.advance(700 * MILLI);
        assertEquals(0, engine.usedTokens());
    }
}
