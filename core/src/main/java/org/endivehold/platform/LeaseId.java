package org.endivehold.platform;

/**
 * Identifies a lease of the key-value service.
 *
 * @param value the service's number
 */
public record LeaseId(long value) {}
