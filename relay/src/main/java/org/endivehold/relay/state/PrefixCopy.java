package org.endivehold.relay.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A copy of the items under one prefix, as of a revision of the store.
 *
 * <p>The same change may arrive more than once and from several sources. The copy is complete up to its revision, so
 * changes up to it are ignored. Pages of a range read may contain items newer than that revision; these are replaced
 * only by changes with a greater revision.
 */
final class PrefixCopy {
    private final ItemListener listener;
    private final Map<String, SharedStore.Item> items = new HashMap<>();
    private long revision = -1;
    private long changedAt = -1;

    PrefixCopy(ItemListener listener) {
        this.listener = listener;
    }

    /** Returns the revision up to which the copy is complete; -1 before the first read. */
    long revision() {
        return revision;
    }

    /**
     * Returns a revision since which no item has changed: any copy that is complete up to it or beyond has the same
     * items.
     */
    long changedAt() {
        return changedAt;
    }

    /** Advances the revision; no item has changed up to it. */
    void unchanged(long upTo) {
        revision = Math.max(revision, upTo);
    }

    /** Returns a new list of the items, in no particular order. */
    List<SharedStore.Item> items() {
        return new ArrayList<>(items.values());
    }

    /** Applies changes that start at the copy's revision or an earlier one, without a gap. */
    void apply(SharedStore.Changes changes) {
        for (SharedStore.Change change : changes.changes()) {
            SharedStore.Item known = items.get(change.key());
            boolean old = change.revision() <= revision;
            if (old || (known != null && known.revision() >= change.revision())) {
                continue;
            }
            changedAt = change.revision();
            if (change.value().isPresent()) {
                SharedStore.Item item =
                        new SharedStore.Item(change.key(), change.value().get(), change.revision());
                items.put(change.key(), item);
                listener.written(item);
            } else if (items.remove(change.key()) != null) {
                listener.removed(change.key());
            }
        }
        revision = Math.max(revision, changes.revision());
    }

    /** Replaces the contents by a range read; items that are missing in it were removed. */
    void replace(SharedStore.Range range) {
        Set<String> missing = new HashSet<>(items.keySet());
        for (SharedStore.Item item : range.items()) {
            missing.remove(item.key());
            SharedStore.Item known = items.get(item.key());
            if (known == null || known.revision() < item.revision()) {
                items.put(item.key(), item);
                listener.written(item);
            }
        }
        for (String key : missing) {
            if (items.get(key).revision() <= range.revision()) {
                items.remove(key);
                listener.removed(key);
            }
        }
        revision = range.revision();
        changedAt = revision;
    }
}
