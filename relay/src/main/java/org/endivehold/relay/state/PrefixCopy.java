package org.endivehold.relay.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivehold.misc.LogEvent;
import org.jboss.logging.Logger;

/**
 * A copy of the items under one prefix, as of a point in the store's history.
 *
 * <p>The same change may arrive more than once and from several sources. The copy is complete up to its position, so
 * changes up to it are ignored. Pages of a range read may contain items newer than that position; these are replaced
 * only by later changes.
 *
 * <p>Changes belong to the era of the copy; a newer era begins with a range read. All its items are later than those of
 * the older era, so they replace them even if the restored store holds older bytes.
 */
final class PrefixCopy {
    private static final Logger log = Logger.getLogger(PrefixCopy.class);

    private final ItemListener listener;
    private final Map<String, SharedStore.Item> items = new HashMap<>();
    private StorePosition position = StorePosition.NONE;
    private StorePosition changedAt = StorePosition.NONE;

    PrefixCopy(ItemListener listener) {
        this.listener = listener;
    }

    /** Returns the point up to which the copy is complete; {@link StorePosition#NONE} before the first read. */
    StorePosition position() {
        return position;
    }

    /**
     * Returns a point since which no item has changed: any copy that is complete up to it or beyond has the same items.
     */
    StorePosition changedAt() {
        return changedAt;
    }

    /** Advances the position; no item has changed up to it. */
    void unchanged(StorePosition upTo) {
        position = StorePosition.latest(position, upTo);
    }

    /** Returns a new list of the items, in no particular order. */
    List<SharedStore.Item> items() {
        return new ArrayList<>(items.values());
    }

    /** Applies changes that start at the copy's position or an earlier one, without a gap. */
    void apply(SharedStore.Changes changes) {
        for (SharedStore.Change change : changes.changes()) {
            SharedStore.Item known = items.get(change.key());
            boolean old = !change.position().isAfter(position);
            if (old || (known != null && !change.position().isAfter(known.position()))) {
                continue;
            }
            changedAt = change.position();
            if (change.value().isPresent()) {
                SharedStore.Item item =
                        new SharedStore.Item(change.key(), change.value().get(), change.position());
                items.put(change.key(), item);
                written(item);
            } else if (items.remove(change.key()) != null) {
                removed(change.key());
            }
        }
        position = StorePosition.latest(position, changes.position());
    }

    /** Reports an item. A listener that fails on one item has to get the others all the same. */
    private void written(SharedStore.Item item) {
        guarded(item.key(), () -> listener.written(item));
    }

    private void removed(String key) {
        guarded(key, () -> listener.removed(key));
    }

    private static void guarded(String key, Runnable report) {
        try {
            report.run();
        } catch (RuntimeException | StackOverflowError e) {
            LogEvent.of("item-not-handled").with("key", key).with("reason", e).warn(log);
        }
    }

    /** Returns whether a restored store holds an item with the bytes that are known; such an item was not written. */
    private static boolean isSameInOtherEra(SharedStore.Item known, SharedStore.Item item) {
        return known != null
                && known.position().era() != item.position().era()
                && known.value().equals(item.value());
    }

    /** Replaces the contents by a range read; items that are missing in it were removed. */
    void replace(SharedStore.Range range) {
        Set<String> missing = new HashSet<>(items.keySet());
        for (SharedStore.Item item : range.items()) {
            missing.remove(item.key());
            SharedStore.Item known = items.get(item.key());
            if (known == null || item.position().isAfter(known.position())) {
                items.put(item.key(), item);
                if (!isSameInOtherEra(known, item)) {
                    written(item);
                }
            }
        }
        for (String key : missing) {
            if (!items.get(key).position().isAfter(range.position())) {
                items.remove(key);
                removed(key);
            }
        }
        position = range.position();
        changedAt = position;
    }
}
