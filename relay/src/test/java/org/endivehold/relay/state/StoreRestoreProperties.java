package org.endivehold.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Copies of three daemons over random histories of a store that is written and restored from older copies. The daemons
 * read the store, pass on copies and changes, and receive some of them late, twice, or in another era.
 *
 * <p>A copy has at all times exactly the items that the store had at the copy's position, its position never falls, and
 * once any daemon has reached the store, all daemons that it reaches have the store's items.
 */
class StoreRestoreProperties {
    private static final int DAEMONS = 3;
    private static final int KEYS = 3;
    private static final int ACTIONS = 8;

    private final Map<StorePosition, Map<String, String>> history = new HashMap<>();
    private final List<FakeStore.Backup> backups = new ArrayList<>();
    private final List<DelayedChanges> delayed = new ArrayList<>();
    private final List<SharedStore.Range> delayedCopies = new ArrayList<>();
    private final List<WatchedPrefix> copies = new ArrayList<>();
    private FakeStore store = new FakeStore();
    private int writes;

    /** Changes on their way to another daemon. */
    private record DelayedChanges(SharedStore.Changes changes, StorePosition after) {}

    private static final class NoListener implements ItemListener {
        @Override
        public void written(SharedStore.Item item) {}

        @Override
        public void removed(String key) {}
    }

    private void reset() {
        history.clear();
        backups.clear();
        delayed.clear();
        delayedCopies.clear();
        copies.clear();
        store = new FakeStore();
        record();
        backups.add(store.backup());
        for (int i = 0; i < DAEMONS; i++) {
            copies.add(new WatchedPrefix(null, store, "s/", () -> 0, null, new NoListener()));
        }
    }

    private static Map<String, String> contents(List<SharedStore.Item> items) {
        Map<String, String> contents = new TreeMap<>();
        items.forEach(item -> contents.put(item.key(), item.value().toString()));
        return contents;
    }

    private SharedStore.Range storeRange() {
        return store.range("s/").result();
    }

    private void record() {
        history.put(store.position(), contents(storeRange().items()));
    }

    @Property(tries = 2_000, seed = "-4183905572038941")
    void copiesMatchTheStoreAtTheirPositionAndConverge(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 71) Integer> steps) {
        reset();
        for (int step : steps) {
            List<StorePosition> before =
                    copies.stream().map(WatchedPrefix::position).toList();
            act(step % ACTIONS, step / ACTIONS);
            for (int i = 0; i < DAEMONS; i++) {
                WatchedPrefix copy = copies.get(i);
                assertFalse(before.get(i).isAfter(copy.position()), "a position never falls");
                if (copy.position().isAfter(StorePosition.NONE)) {
                    assertEquals(history.get(copy.position()), contents(copy.items()));
                }
            }
        }
        converge();
    }

    private void act(int action, int choice) {
        WatchedPrefix copy = copies.get(choice % DAEMONS);
        WatchedPrefix other = copies.get((choice + 1 + choice / DAEMONS % (DAEMONS - 1)) % DAEMONS);
        switch (action) {
            case 0 -> store.write("s/" + choice % KEYS, "v" + writes++);
            case 1 -> store.remove("s/" + choice % KEYS);
            case 2 -> backups.add(store.backup());
            case 3 -> store.restore(backups.get(choice % backups.size()));
            case 4 -> copy.replaceIfNewer(storeRange(), "store");
            case 5 -> watch(copy);
            case 6 -> delayedCopies.add(new SharedStore.Range(copy.items(), copy.position()));
            default -> deliver(other, choice);
        }
        record();
    }

    /** Applies what the store reports after the copy's position, and puts it on its way to the other daemons. */
    private void watch(WatchedPrefix copy) {
        if (copy.position().era() != store.position().era()) {
            return;
        }
        StorePosition after = copy.changedAt();
        Future<SharedStore.Changes> watched = store.watch("s/", copy.position(), 1);
        if (watched.succeeded()) {
            copy.applyFromPeer(watched.result(), copy.position());
            delayed.add(new DelayedChanges(watched.result(), after));
        }
    }

    private void deliver(WatchedPrefix copy, int choice) {
        if (!delayed.isEmpty()) {
            DelayedChanges late = delayed.get(choice % delayed.size());
            copy.applyFromPeer(late.changes(), late.after());
        }
        if (!delayedCopies.isEmpty()) {
            copy.replaceIfNewer(delayedCopies.get(choice % delayedCopies.size()), "peer");
        }
    }

    private void converge() {
        WatchedPrefix first = copies.get(0);
        first.replaceIfNewer(storeRange(), "store");
        for (WatchedPrefix copy : copies) {
            copy.replaceIfNewer(new SharedStore.Range(first.items(), first.position()), "peer");
            assertEquals(contents(storeRange().items()), contents(copy.items()));
        }
    }
}
