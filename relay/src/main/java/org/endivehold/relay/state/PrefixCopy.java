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
 * <p>Changes may come twice and from several sides: the copy is complete up to its revision, so a change up to there is
 * known, and what a range shows beyond it is replaced only by something newer.
 */
final class PrefixCopy {
    private final ItemListener listener;
    private final Map<String, SharedStore.Item> items = new HashMap<>();
    private long revision = -1;
    private long changedAt = -1;

    PrefixCopy(ItemListener listener) {
        this.listener = listener;
    }

    /** Returns the revision up to which the copy is complete; -1 before the first. */
    long revision() {
        return revision;
    }

    /**
     * Returns a revision since which nothing has changed here: a copy that is complete up to it, or beyond, has the
     * same items.
     */
    long changedAt() {
        return changedAt;
    }

    /** Takes note that nothing has changed up to a revision. */
    void unchanged(long upTo) {
        revision = Math.max(revision, upTo);
    }

    /** Returns the items. */
    List<SharedStore.Item> items() {
        return new ArrayList<>(items.values());
    }

    /** Takes changes that follow on the copy's revision, or on an earlier one. */
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

    /** Takes all items as of a revision; what is missing was removed. */
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
