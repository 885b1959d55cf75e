package org.endivehold.relay.serve;

/** Counts the requests that this daemon is serving, of its own callers and of other daemons. */
final class ActiveRequests {
    private int count;

    void begin() {
        count++;
    }

    void end() {
        count--;
    }

    int count() {
        return count;
    }
}
