package org.endivehold.relay.state;

/** Ages of a daemon's copies of the store's items. All times are in milliseconds, and infinite if it never happened. */
public interface CopyAges {
    /** Returns the time since the end of the last outage of the upstreams' entries; 0 during an outage. */
    double sinceOutageMillis();

    /** Returns the time since the operators' entries were restored from an older copy. */
    double sinceRestoreMillis();

    /** Returns the time since the store, or a daemon that watches it, last confirmed the operators' entries. */
    double sinceOperatorEntriesHeardMillis();
}
