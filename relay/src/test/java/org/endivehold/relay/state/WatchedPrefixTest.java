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
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class WatchedPrefixTest {
    private static final int LIMIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final FakeStore store = new FakeStore();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final WatchedPrefix copy = new WatchedPrefix(
            vertx, store, "s/", Ticker.system(), RandomSource.SPLIT_MIX_64.create(1), new ItemListener() {
                @Override
                public void written(SharedStore.Item item) {
                    events.add("+" + item.key() + "=" + item.value());
                }

                @Override
                public void removed(String key) {
                    events.add("-" + key);
                }
            });

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
        long known = copy.revision();
        SharedStore.Item item = new SharedStore.Item("s/c", Buffer.buffer("3"), known + 5);
        run(() -> copy.replaceIfNewer(new SharedStore.Range(List.of(item), known + 5), "peer"));
        List<String> seen = take(2);
        assertTrue(seen.containsAll(List.of("+s/c=3", "-s/a")), seen::toString);
        run(() -> copy.replaceIfNewer(new SharedStore.Range(List.of(), known + 4), "stale peer"));
        assertEquals(1, copy.items().size());
    }

    private static SharedStore.Changes written(String key, String value, long revision) {
        SharedStore.Change change = new SharedStore.Change(key, revision, Optional.of(Buffer.buffer(value)));
        return new SharedStore.Changes(List.of(change), revision);
    }

    /** One daemon watches on behalf of many. */
    @Test
    void makesNoCallsWhileAnotherDaemonWatchesAndResumesAfterThat() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        long known = copy.revision();
        run(() -> assertTrue(copy.confirmByPeer(known + 3, known, 0)));
        run(store::completeWatches);
        assertEquals(0, store.watches());
        assertEquals(known + 3, copy.revision());
        run(() -> assertTrue(copy.applyFromPeer(written("s/b", "2", known + 5), known)));
        assertEquals(List.of("+s/b=2"), take(1));
        run(() -> {
            for (int i = 0; i < 5; i++) {
                store.write("other", "x");
            }
            store.write("s/c", "3");
        });
        assertEquals(List.of("+s/c=3"), take(1), "the confirmation has expired");
    }

    /** A daemon that was disconnected receives only the latest change. */
    @Test
    void reportsMissingChanges() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        long known = copy.revision();
        run(() -> assertFalse(copy.confirmByPeer(known + 9, known + 4, 0)));
        run(() -> assertFalse(copy.applyFromPeer(written("s/b", "2", known + 9), known + 4)));
        assertEquals(known, copy.revision());
    }

    /** Two daemons forward the same changes, one of them late. */
    @Test
    void aLateReportOfAKnownChangeIsIgnored() throws Exception {
        store.write("s/a", "1");
        run(copy::start);
        take(1);
        long known = copy.revision();
        SharedStore.Change gone = new SharedStore.Change("s/a", known + 2, Optional.empty());
        run(() -> copy.applyFromPeer(new SharedStore.Changes(List.of(gone), known + 2), known));
        run(() -> copy.applyFromPeer(written("s/a", "old", known + 1), known));
        assertEquals(List.of("-s/a"), take(1));
        assertTrue(copy.items().isEmpty());
    }
}
