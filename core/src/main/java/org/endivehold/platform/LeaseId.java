package org.endivehold.platform;

/**
 * Identifies a lease of the key-value service.
 *
 * @param value the number that the service assigned
 */
public record LeaseId(long value) {}
