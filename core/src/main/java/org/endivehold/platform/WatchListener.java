package org.endivehold.platform;

/** Receives changes to watched keys. */
public interface WatchListener {
    /**
     * Called when a key was written.
     *
     * @param entry the key with its new value
     */
    void changed(StoreEntry entry);

    /**
     * Called when a key was deleted or its lease has expired.
     *
     * @param key the key
     */
    default void deleted(String key) {}

    /** Called when the watch starts and when changes may have been missed: the listener has to read all keys again. */
    default void resync() {}
}
