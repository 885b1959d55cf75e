package org.endivehold.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WatchedPrefixTest {
    private static final int LIMIT_SECONDS = 10;
    /** Time from the end of a watch's wait until the adapter gives the connection up, in milliseconds. */
    private static final int ADAPTER_TIMEOUT_MILLIS = 600;

    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final FakeStore store = new FakeStore();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    /** What the listener does before it handles an item, by key, or a new copy. */
    private final Map<String, Runnable> failures = new ConcurrentHashMap<>();

    private final ItemListener listener = new ItemListener() {
        @Override
        public void written(SharedStore.Item item) {
            failures.getOrDefault(item.key(), () -> {}).run();
            events.add("+" + item.key() + "=" + item.value());
        }

        @Override
        public void removed(String key) {
            events.add("-" + key);
        }

        @Override
        public void current(WatchedPrefix copy) {
            failures.getOrDefault("current", () -> {}).run();
        }
    };
    private final WatchedPrefix copy = copy(3_000);

    private WatchedPrefix copy(int stableWindowMillis) {
        return new WatchedPrefix(
                vertx, store, "s/", Ticker.system(), RandomSource.SPLIT_MIX_64.create(1), listener, stableWindowMillis);
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Runs a step on the event loop, on which the store's answers are handled as well. */
    private void run(Runnable step) throws Exception {
        Promise<Void> done = Promise.promise();
        loop.runOnContext(ignored -> {
            step.run();
            done.complete();
        });
        done.future().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private List<String> take(int count) throws InterruptedException {
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            taken.add(events.poll(LIMIT_SECONDS, TimeUnit.SECONDS));
        }
        return taken;
    }

    @Test
    void startsWithTheRangeAndFollowsChanges() throws Exception {
        store.write("s/a", "1");
        store.write("other", "x");
        run(copy::start);
        assertEquals(List.of("+s/a=1"), take(1));
        run(() -> store.write("s/b", "2"));
        run(() -> store.remove("s/a"));
        assertEquals(List.of("+s/b=2", "-s/a"), take(2));
        assertEquals(1, store.ranges());
    }

    /** A connection that delivers nothing was noticed after the stable window, or watches were repeated too often. */
    @ParameterizedTest
    @ValueSource(ints = {3_000, 4_000, 5_000})
    void aWatchAndItsTimeoutTakeMostOfTheStableWindow(int windowMillis) throws Exception {
        store.write("s/a", "1");
        WatchedPrefix watched = copy(windowMillis);
        run(watched::start);
        take(1);
        for (int i = 0; i < 20; i++) {
            run(store::completeWatches);
            int noticedMillis = store.lastWaitMillis() + ADAPTER_TIMEOUT_MILLIS;
            assertTrue(noticedMillis <= windowMillis && noticedMillis >= 0.8 * windowMillis, () -> "" + noticedMillis);
        }
    }

    /** A daemon that starts reads a state before the last changes; they are not missed. */
    @Test
    void theWatchCorrectsAStaleFirstRead() throws Exception {
        store.write("s/a", "1");
        store.write("s/b", "1");
        store.holdStaleState();
        store.remove("s/a");
        store.write("s/b", "2");
        run(copy::start);
        assertEquals(List.of("+s/a=1", "+s/b=1"), take(2).stream().sorted().toList());
        assertEquals(List.of("-s/a", "+s/b=2"), take(2));
        assertEquals(0, store.ranges());
    }

    /** The state that was read is older than the store's history: the copy would never be current. */
    @Test
    void readsAFreshRangeIfTheHistoryAfterAStaleReadIsGone() throws Exception {
        store.write("s/a", "1");
        store.holdStaleState();
        store.write("s/a", "2");
        store.compact();
        run(copy::start);
        assertEquals(List.of("+s/a=1", "+s/a=2"), take(2));
        assertEquals(1, store.ranges());
    }

    /** A stale read put a removed item back although another daemon had supplied a newer copy before. */
    @Test
    void aStaleReadDoesNotReplaceANewerCopy() throws Exception {
        store.write("s/a", "1");
        store.holdStaleState();
        store.remove("s/a");
        store.write("s/c", "3");
        SharedStore.Item item = new SharedStore.Item("s/c", Buffer.buffer("3"), store.position());
        run(() -> {
            copy.replaceIfNewer(new SharedStore.Range(List.of(item), store.position()), "peer");
            copy.start();
        });
        run(() -> store.write("s/d", "4"));
        assertEquals(List.of("+s/c=3", "+s/d=4"), take(2));
    }

    @Test
    void readsTheRangeAgainWhenTheHistoryIsGone() throws Exception {
        store.write("s/a", "1");
        store.write("s/b", "1");
        run(copy::start);
        take(2);
        run(() -> {
            store.down(true);
            store.remove("s/a");
            store.write("s/b", "2");
            store.compact();
            store.down(false);
        });
        List<String> seen = take(2);
        assertTrue(seen.containsAll(List.of("+s/b=2", "-s/a")), seen::toString);
    }

    @Test
    void keepsItsCopyInAnOutageAndAcceptsANewerOneOfAnotherDaemon() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        run(() -> store.down(true));
        assertEquals(1, copy.items().size());
        StorePosition known = copy.position();
        SharedStore.Item item = new SharedStore.Item("s/c", Buffer.buffer("3"), after(known, 5));
        run(() -> copy.replaceIfNewer(new SharedStore.Range(List.of(item), after(known, 5)), "peer"));
        List<String> seen = take(2);
        assertTrue(seen.containsAll(List.of("+s/c=3", "-s/a")), seen::toString);
        run(() -> copy.replaceIfNewer(new SharedStore.Range(List.of(), after(known, 4)), "stale peer"));
        assertEquals(1, copy.items().size());
    }

    private static StorePosition after(StorePosition known, int revisions) {
        return new StorePosition(known.era(), known.revision() + revisions);
    }

    private static SharedStore.Changes written(String key, String value, StorePosition position) {
        SharedStore.Change change = new SharedStore.Change(key, position, Optional.of(Buffer.buffer(value)));
        return new SharedStore.Changes(List.of(change), position);
    }

    /** One item that the listener cannot handle ended the watch: all later changes were missed. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anItemThatCannotBeHandledDoesNotEndTheWatch(boolean overflowsTheStack) throws Exception {
        failures.put("s/odd", () -> fail(overflowsTheStack));
        store.write("s/a", "1");
        store.write("s/odd", "1");
        run(copy::start);
        assertEquals(List.of("+s/a=1"), take(1));
        run(() -> store.write("s/odd", "2"));
        run(() -> store.write("s/b", "2"));
        run(() -> store.remove("s/a"));
        assertEquals(List.of("+s/b=2", "-s/a"), take(2));
        assertEquals(store.position(), copy.position());
    }

    /** A failure outside of any item: the range is read again, and changes are followed from there. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerThatCannotBeHandledDoesNotEndTheWatch(boolean overflowsTheStack) throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        assertEquals(List.of("+s/a=1"), take(1));
        failures.put("current", () -> {
            failures.clear();
            fail(overflowsTheStack);
        });
        run(() -> store.write("s/b", "2"));
        assertEquals(List.of("+s/b=2"), take(1));
        run(() -> store.write("s/c", "3"));
        assertEquals(List.of("+s/c=3"), take(1));
    }

    private static void fail(boolean overflowsTheStack) {
        if (overflowsTheStack) {
            throw new StackOverflowError();
        }
        throw new IllegalStateException("odd");
    }

    /** The restored store gives revisions out again, beyond the one that this copy had reached. */
    @Test
    void followsAStoreThatWasRestoredFromAnOlderCopy() throws Exception {
        store.write("s/a", "1");
        FakeStore.Backup backup = store.backup();
        run(copy::start);
        take(1);
        run(() -> store.write("s/a", "2"));
        run(() -> store.write("s/b", "lost"));
        take(2);
        run(() -> {
            store.restore(backup);
            for (int i = 0; i < 5; i++) {
                store.write("other", "x");
            }
            store.write("s/c", "3");
        });
        List<String> seen = take(3);
        assertTrue(seen.containsAll(List.of("+s/a=1", "-s/b", "+s/c=3")), seen::toString);
        run(() -> store.write("s/d", "4"));
        assertEquals(List.of("+s/d=4"), take(1));
        assertEquals(store.position(), copy.position());
    }

    /** No call fails in a restore that takes a moment; what the copy lacks gets the grace period of an outage. */
    @Test
    void aRestoreCountsAsTheEndOfAnOutage() throws Exception {
        store.write("s/a", "1");
        FakeStore.Backup backup = store.backup();
        run(copy::start);
        take(1);
        run(() -> store.write("s/b", "2"));
        take(1);
        assertTrue(Double.isInfinite(copy.sinceOutageMillis()));
        assertTrue(Double.isInfinite(copy.sinceRestoreMillis()));
        run(() -> store.restore(backup));
        assertEquals(List.of("-s/b"), take(1));
        assertTrue(copy.sinceOutageMillis() < LIMIT_SECONDS * 1_000);
        assertTrue(copy.sinceRestoreMillis() < LIMIT_SECONDS * 1_000);
    }

    @Test
    void anItemThatTheRestoreDidNotChangeIsNotReportedAgain() throws Exception {
        store.write("s/a", "1");
        FakeStore.Backup backup = store.backup();
        run(copy::start);
        take(1);
        run(() -> store.restore(backup));
        run(() -> store.write("s/b", "2"));
        assertEquals(List.of("+s/b=2"), take(1));
    }

    @Test
    void followsTwoRestoresInARow() throws Exception {
        store.write("s/a", "1");
        FakeStore.Backup backup = store.backup();
        run(copy::start);
        take(1);
        run(() -> store.write("s/a", "2"));
        take(1);
        run(() -> {
            store.restore(backup);
            store.restore(backup);
        });
        assertEquals(List.of("+s/a=1"), take(1));
        assertEquals(2, copy.position().era());
    }

    /** This daemon cannot reach the store; the copy that it gets is of a newer era with smaller revisions. */
    @Test
    void acceptsACopyOfANewerEraFromAnotherDaemonAndNoneOfAnOlderOne() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        run(() -> store.down(true));
        StorePosition known = copy.position();
        StorePosition restored = new StorePosition(known.era() + 1, 3);
        SharedStore.Item item = new SharedStore.Item("s/c", Buffer.buffer("3"), restored);
        run(() -> copy.replaceIfNewer(new SharedStore.Range(List.of(item), restored), "peer"));
        List<String> seen = take(2);
        assertTrue(seen.containsAll(List.of("+s/c=3", "-s/a")), seen::toString);
        run(() -> copy.replaceIfNewer(new SharedStore.Range(List.of(), after(known, 9)), "stale peer"));
        run(() -> assertTrue(copy.applyFromPeer(written("s/a", "old", after(known, 9)), known)));
        run(() -> assertTrue(copy.confirmByPeer(after(known, 9), known, 0)));
        assertEquals(restored, copy.position());
        assertEquals(1, copy.items().size());
    }

    /** A confirmation of the new era shows that this copy, whose revisions are greater, is outdated. */
    @Test
    void reportsThatACopyOfAnOlderEraMissesChanges() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        StorePosition restored = new StorePosition(copy.position().era() + 1, 3);
        run(() -> assertFalse(copy.confirmByPeer(restored, restored, 0)));
        run(() -> assertFalse(copy.applyFromPeer(written("s/b", "2", after(restored, 1)), restored)));
    }

    /** One daemon watches on behalf of many. */
    @Test
    void makesNoCallsWhileAnotherDaemonWatchesAndResumesAfterThat() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        StorePosition known = copy.position();
        run(() -> assertTrue(copy.confirmByPeer(after(known, 3), known, 0)));
        run(store::completeWatches);
        assertEquals(0, store.watches());
        assertEquals(after(known, 3), copy.position());
        run(() -> assertTrue(copy.applyFromPeer(written("s/b", "2", after(known, 5)), known)));
        assertEquals(List.of("+s/b=2"), take(1));
        run(() -> {
            for (int i = 0; i < 5; i++) {
                store.write("other", "x");
            }
            store.write("s/c", "3");
        });
        assertEquals(List.of("+s/c=3"), take(1), "the confirmation has expired");
    }

    /**
     * Each of many daemons called the store several times a second while the coordinators already knew that it is out.
     */
    @Test
    void makesFewCallsWhileACoordinatorReportsTheStoreAsUnavailable() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        AtomicInteger before = new AtomicInteger();
        run(() -> {
            before.set(store.calls());
            copy.reportUnavailable();
            store.down(true);
        });
        Thread.sleep(400);
        run(() -> {
            assertEquals(before.get(), store.calls(), "the first delay is longer than without a report");
            store.down(false);
            store.write("s/b", "2");
        });
        assertEquals(List.of("+s/b=2"), take(1));
    }

    /** The copies of two prefixes each found out for themselves that the store is still out. */
    @Test
    void aSecondCopyWaitsForTheFirstOneInAReportedOutage() throws Exception {
        store.write("s/a", "1");
        WatchedPrefix second = copy(3_000);
        second.tryAfter(copy);
        run(copy::start);
        run(second::start);
        take(2);
        run(() -> {
            copy.reportUnavailable();
            second.reportUnavailable();
            store.down(true);
        });
        AtomicInteger before = new AtomicInteger();
        run(() -> before.set(store.calls()));
        for (int i = 0; i < 3; i++) {
            Thread.sleep(1_000);
            run(copy::reportUnavailable);
            run(second::reportUnavailable);
        }
        run(() -> assertTrue(store.calls() - before.get() <= 7, () -> store.calls() - before.get() + " calls"));
        run(() -> {
            store.down(false);
            store.write("s/b", "2");
        });
        assertEquals(List.of("+s/b=2", "+s/b=2"), take(2));
    }

    /** A confirmed copy needs no new read of its range when the confirmation ends. */
    @Test
    void aCopyThatAnotherDaemonConfirmedAfterAnOutageIsNotReadAgain() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        StorePosition known = copy.position();
        run(() -> store.down(true));
        Thread.sleep(600);
        AtomicInteger ranges = new AtomicInteger();
        run(() -> {
            store.down(false);
            assertTrue(copy.confirmByPeer(after(known, 0), known, 0));
            ranges.set(store.ranges());
        });
        Thread.sleep(WatchedPrefix.PEER_CONFIRMATION_MILLIS + 300);
        run(() -> store.write("s/b", "2"));
        assertEquals(List.of("+s/b=2"), take(1));
        assertEquals(ranges.get(), store.ranges());
    }

    /** A daemon that was disconnected receives only the latest change. */
    @Test
    void reportsMissingChanges() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        StorePosition known = copy.position();
        run(() -> assertFalse(copy.confirmByPeer(after(known, 9), after(known, 4), 0)));
        run(() -> assertFalse(copy.applyFromPeer(written("s/b", "2", after(known, 9)), after(known, 4))));
        assertEquals(known, copy.position());
    }

    /** Two daemons forward the same changes, one of them late. */
    @Test
    void aLateReportOfAKnownChangeIsIgnored() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        StorePosition known = copy.position();
        SharedStore.Change gone = new SharedStore.Change("s/a", after(known, 2), Optional.empty());
        run(() -> copy.applyFromPeer(new SharedStore.Changes(List.of(gone), after(known, 2)), known));
        run(() -> copy.applyFromPeer(written("s/a", "old", after(known, 1)), known));
        assertEquals(List.of("-s/a"), take(1));
        assertTrue(copy.items().isEmpty());
    }
}
