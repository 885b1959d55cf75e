package org.endivehold.relay.state;

/**
 * A lease of the store. After a restore, the id may belong to a lease of another client.
 *
 * @param era era in which the lease was granted; it ends with the era
 * @param id number of the lease within the era
 */
public record StoreLease(long era, long id) {}
