package org.endivehold.platform;

/** Is told of changes to watched keys. */
public interface WatchListener {
    /**
     * A key was written.
     *
     * @param entry the key with its new value
     */
    void changed(StoreEntry entry);

    /**
     * A key was deleted or its lease expired.
     *
     * @param key the key
     */
    default void deleted(String key) {}

    /** The watch starts, or changes may have been missed: the listener has to read all keys again. */
    default void resync() {}
}
