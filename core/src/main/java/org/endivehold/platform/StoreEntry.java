package org.endivehold.platform;

/**
 * A key of the key-value service with its value.
 *
 * @param key the key
 * @param value the value, which must not be modified
 * @param revision the service's revision of the last write to this key, positive
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreEntry(String key, byte[] value, long revision) {}
