package org.endivehold.relay.state;

/** Receives the changes of a copy of the store's items. */
public interface ItemListener {
    /** An item was created or changed. */
    void written(SharedStore.Item item);

    /** The item with a key was removed. */
    void removed(String key);

    /** The copy was updated from a range or from changes and is complete up to its revision. */
    default void current(WatchedPrefix copy) {}
}
