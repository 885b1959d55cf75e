package org.endivehold.daemon.ledger;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.function.LongSupplier;
import org.endivehold.misc.Ticker;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;

/**
 * Provides the lease that new entries are attached to, so that the key-value service deletes them when they expire.
 *
 * <p>One lease is shared by all claims of a daemon during one reuse period, and is never renewed or revoked. Its time
 * to live is one period longer than entries have to be kept, so that an entry attached at the end of the period is kept
 * long enough. The age of the lease is measured by both the monotonic and the wall clock, since the monotonic clock may
 * stop while a virtual machine is suspended.
 */
final class LedgerLease {
    /** Number of reuse periods of a lease in the time for which entries have to be kept. */
    private static final int REUSE_PERIODS_PER_KEEP_TIME = 24;

    private final PlatformStore store;
    private final Context context;
    private final Ticker ticker;
    private final LongSupplier wallMillis;
    private final Duration ttl;
    private final long reusePeriodMillis;

    private Future<LeaseId> lease;
    private long grantedAtMillis;
    private long grantedWallMillis;

    LedgerLease(PlatformStore store, Context context, Ticker ticker, LongSupplier wallMillis, Duration keep) {
        this.store = store;
        this.context = context;
        this.ticker = ticker;
        this.wallMillis = wallMillis;
        this.reusePeriodMillis = keep.toMillis() / REUSE_PERIODS_PER_KEEP_TIME;
        this.ttl = keep.plusMillis(reusePeriodMillis);
    }

    /** Returns a lease that a new entry can be attached to. Concurrent calls share one request for a lease. */
    Future<LeaseId> current() {
        if (lease == null || lease.failed() || isOld()) {
            grantedAtMillis = ticker.millis();
            grantedWallMillis = wallMillis.getAsLong();
            lease = Future.fromCompletionStage(store.grantLease(ttl), context);
        }
        return lease;
    }

    /** Discards a lease that may be lost, so that the next call requests a new one. */
    void invalidate(LeaseId lost) {
        if (lease != null && lease.succeeded() && lease.result().equals(lost)) {
            lease = null;
        }
    }

    private boolean isOld() {
        long age = ticker.millis() - grantedAtMillis;
        long wallAge = wallMillis.getAsLong() - grantedWallMillis;
        return age >= reusePeriodMillis || Math.abs(wallAge) >= reusePeriodMillis;
    }
}
