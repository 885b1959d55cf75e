package org.endivehold.relay.state;

/** Is told how a copy of the store's items changes. */
public interface ItemListener {
    /** An item was created or changed. */
    void written(SharedStore.Item item);

    /** An item is gone. */
    void removed(String key);

    /** The copy is complete up to its revision. */
    default void current(WatchedPrefix copy) {}
}
