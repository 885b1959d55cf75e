package org.endivehold.daemon.ledger;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.function.LongSupplier;
import org.endivehold.misc.Ticker;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;

/**
 * The lease to which new entries are bound, so that the key-value service itself removes them when they expire.
 *
 * <p>One lease serves all claims of a daemon for a period and is never renewed or revoked. It lives one period longer
 * than entries have to be kept, so an entry that was bound at the end of the period is still kept long enough. The age
 * of the lease is taken from both clocks, since the monotonic one may stand still while a virtual machine is suspended.
 */
final class LedgerLease {
    private static final int PERIODS_PER_KEEP_TIME = 24;

    private final PlatformStore store;
    private final Context context;
    private final Ticker ticker;
    private final LongSupplier wallMillis;
    private final Duration ttl;
    private final long periodMillis;

    private Future<LeaseId> lease;
    private long grantedAt;
    private long grantedWallMillis;

    LedgerLease(PlatformStore store, Context context, Ticker ticker, LongSupplier wallMillis, Duration keep) {
        this.store = store;
        this.context = context;
        this.ticker = ticker;
        this.wallMillis = wallMillis;
        this.periodMillis = keep.toMillis() / PERIODS_PER_KEEP_TIME;
        this.ttl = keep.plusMillis(periodMillis);
    }

    /** Returns a lease young enough for a new entry; calls that come while one is being granted share it. */
    Future<LeaseId> current() {
        if (lease == null || lease.failed() || isOld()) {
            grantedAt = ticker.millis();
            grantedWallMillis = wallMillis.getAsLong();
            lease = Future.fromCompletionStage(store.grantLease(ttl), context);
        }
        return lease;
    }

    /** Forgets a lease that the service no longer knows. */
    void invalidate(LeaseId lost) {
        if (lease != null && lease.succeeded() && lease.result().equals(lost)) {
            lease = null;
        }
    }

    private boolean isOld() {
        long age = ticker.millis() - grantedAt;
        long wallAge = wallMillis.getAsLong() - grantedWallMillis;
        return age >= periodMillis || Math.abs(wallAge) >= periodMillis;
    }
}
