package org.endivehold.relay.state;

/** Copies that the store confirms all the time; there was neither an outage nor a restore. */
final class UndisturbedAges implements CopyAges {
    @Override
    public double sinceOutageMillis() {
        return Double.POSITIVE_INFINITY;
    }

    @Override
    public double sinceRestoreMillis() {
        return Double.POSITIVE_INFINITY;
    }

    @Override
    public double sinceOperatorEntriesHeardMillis() {
        return 0;
    }
}
