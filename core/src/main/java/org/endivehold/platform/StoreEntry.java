package org.endivehold.platform;

/**
 * One key of the key-value service.
 *
 * @param key the key
 * @param value the value; not to be changed
 * @param revision the service's revision of the last write to this key, positive
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreEntry(String key, byte[] value, long revision) {}
