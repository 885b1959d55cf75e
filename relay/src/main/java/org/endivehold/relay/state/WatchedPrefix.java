package org.endivehold.relay.state;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.ObjLongConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.jboss.logging.Logger;

/**
 * A copy of all items under one prefix of the store, kept current by a long-polled watch.
 *
 * <p>The copy starts with a read of the whole range and goes on with watches from the revision of its first page. The
 * pages are no snapshot, but whatever changed between them is reported again by the watch, and a change replaces an
 * item only if its revision is greater. When the store no longer has the history, the range is read anew and compared:
 * what is missing in it was removed. A wait is short, so that a connection that went silent is noticed within seconds.
 *
 * <p>While the store does not answer, the copy stands, and copies of other daemons are taken if they are newer.
 *
 * <p>In a large fleet only a few daemons watch; the others follow them ({@code CopyExchange}). Who has not heard from
 * one that watches for {@value #VOUCH_MILLIS} ms watches for itself, from the revision that it has.
 */
public final class WatchedPrefix {
    /** Longest wait of one watch call, in milliseconds: a silent connection is noticed after about this time. */
    static final int WAIT_MILLIS = 2_500;
    /** Longest time that an answer takes beyond the wait, in milliseconds; the adapter's calls time out later. */
    private static final int ANSWER_MILLIS = 700;
    /** How long the word of a daemon that watches counts, in milliseconds: two of its words may be lost or late. */
    static final int VOUCH_MILLIS = 1_600;
    /** First pause after a failed call, in milliseconds. */
    private static final int FIRST_PAUSE_MILLIS = 100;
    /** Longest pause after failed calls, in milliseconds: calls are priced also when they fail. */
    private static final int LONGEST_PAUSE_MILLIS = 800;

    private static final Logger log = Logger.getLogger(WatchedPrefix.class);

    private final Vertx vertx;
    private final SharedStore store;
    private final String prefix;
    private final Ticker ticker;
    private final UniformRandomProvider random;
    private final ItemListener listener;
    private final PrefixCopy copy;

    private ObjLongConsumer<SharedStore.Changes> follower = (changes, after) -> {};
    private boolean anew = true;
    private int failures;
    private double failingSince = -1;
    private double regainedAt = Double.NEGATIVE_INFINITY;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private double vouchedUntil = Double.NEGATIVE_INFINITY;
    private boolean closed;

    /** Creates the copy; it is empty until started. */
    public WatchedPrefix(
            Vertx vertx,
            SharedStore store,
            String prefix,
            Ticker ticker,
            UniformRandomProvider random,
            ItemListener listener) {
        this.vertx = vertx;
        this.store = store;
        this.prefix = prefix;
        this.ticker = ticker;
        this.random = random;
        this.listener = listener;
        this.copy = new PrefixCopy(listener);
    }

    /** Sets who is told of changes that the store reported, with the revision after which they are all. */
    public void onChanges(ObjLongConsumer<SharedStore.Changes> value) {
        follower = value;
    }

    /** Starts to read and watch. */
    public void start() {
        step();
    }

    /** Ends the watch; a call that is under way is ignored. */
    public void close() {
        closed = true;
    }

    /** Returns the prefix. */
    public String prefix() {
        return prefix;
    }

    /** Returns the revision up to which the copy is complete; -1 before the first. */
    public long revision() {
        return copy.revision();
    }

    /** Returns a revision since which nothing has changed in the copy. */
    public long changedAt() {
        return copy.changedAt();
    }

    /** Returns the items of the copy. */
    public List<SharedStore.Item> items() {
        return copy.items();
    }

    /** Tells whether the store itself confirmed the copy within the time of one call. */
    public boolean confirmed() {
        return failures == 0 && ticker.millis() - confirmedAt <= WAIT_MILLIS + ANSWER_MILLIS;
    }

    /** Returns since when the store has not answered, in milliseconds; 0 if it answers. */
    public double silentMillis() {
        return failingSince < 0 ? 0 : ticker.millis() - failingSince;
    }

    /** Returns how long ago the store answered again after failures, in milliseconds. */
    public double sinceRegainedMillis() {
        return ticker.millis() - regainedAt;
    }

    /**
     * Takes note that another daemon watches the store and keeps its copy current. For a while this one relies on it
     * and makes no calls.
     *
     * @param theirs revision of the other daemon's copy
     * @param changedAt revision since which nothing has changed there
     * @param regainedMillis how long ago the store answered that daemon again after failures
     * @return false if this copy is older, so that something is missing
     */
    public boolean vouched(long theirs, long changedAt, double regainedMillis) {
        double now = ticker.millis();
        vouchedUntil = now + VOUCH_MILLIS;
        regainedAt = Math.max(regainedAt, now - regainedMillis);
        answered("peer");
        boolean complete = revision() >= changedAt;
        if (complete) {
            copy.unchanged(theirs);
        }
        return complete;
    }

    /**
     * Takes changes that another daemon saw.
     *
     * @param changes the changes
     * @param after revision after which they are all
     * @return false if this copy is older than that, so that something is missing
     */
    public boolean follow(SharedStore.Changes changes, long after) {
        if (revision() < after) {
            return false;
        }
        if (changes.revision() > revision()) {
            copy.apply(changes);
            listener.current(this);
        }
        return true;
    }

    /** Takes the copy of another daemon if it is newer than this one. */
    public void offer(SharedStore.Range theirs, String from) {
        if (theirs.revision() <= revision()) {
            return;
        }
        LogEvent.of("store-copy-taken")
                .with("prefix", prefix)
                .with("from", from)
                .with("revision", theirs.revision())
                .with("had", revision())
                .info(log);
        replace(theirs);
    }

    private void step() {
        if (closed) {
            return;
        }
        double vouched = vouchedUntil - ticker.millis();
        if (vouched > 0 && revision() >= 0) {
            vertx.setTimer((long) vouched + 1, timer -> step());
        } else if (anew) {
            store.range(prefix).onComplete(read -> {
                if (read.succeeded()) {
                    heard();
                    anew = false;
                    if (read.result().revision() >= revision()) {
                        replace(read.result());
                    }
                    step();
                } else {
                    failed(read.cause());
                }
            });
        } else {
            store.watch(prefix, revision(), WAIT_MILLIS).onComplete(seen -> {
                if (seen.succeeded()) {
                    heard();
                    apply(seen.result());
                    step();
                } else {
                    failed(seen.cause());
                }
            });
        }
    }

    private void heard() {
        confirmedAt = ticker.millis();
        answered("store");
    }

    /** The store has answered, this daemon or one that tells. */
    private void answered(String from) {
        failures = 0;
        if (failingSince >= 0) {
            LogEvent.of("store-regained")
                    .with("prefix", prefix)
                    .with("from", from)
                    .with("silent_ms", ticker.millis() - failingSince)
                    .info(log);
            failingSince = -1;
            regainedAt = ticker.millis();
        }
    }

    private void failed(Throwable cause) {
        if (cause instanceof EndiveholdException e && e.type() == ErrorType.STORE_HISTORY_GONE) {
            LogEvent.of("store-history-gone")
                    .with("prefix", prefix)
                    .with("revision", revision())
                    .info(log);
            anew = true;
            step();
            return;
        }
        if (failingSince < 0) {
            failingSince = ticker.millis();
            LogEvent.of("store-lost")
                    .with("prefix", prefix)
                    .with("revision", revision())
                    .with("reason", cause.getMessage())
                    .warn(log);
        }
        int pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, 10));
        failures++;
        anew = anew || failures > 1;
        vertx.setTimer(pause / 2 + random.nextInt(pause), timer -> step());
    }

    private void apply(SharedStore.Changes changes) {
        long before = copy.changedAt();
        copy.apply(changes);
        listener.current(this);
        if (!changes.changes().isEmpty()) {
            follower.accept(changes, before);
        }
    }

    private void replace(SharedStore.Range range) {
        copy.replace(range);
        listener.current(this);
    }
}
