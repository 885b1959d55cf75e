package org.endivehold.relay.state;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 */
public final class WatchedPrefix {
    /** Longest wait of one watch call, in milliseconds: a silent connection is noticed after about this time. */
    static final int WAIT_MILLIS = 2_500;
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
    private final Map<String, SharedStore.Item> items = new HashMap<>();

    private long revision = -1;
    private boolean anew = true;
    private int failures;
    private double failingSince = -1;
    private double regainedAt = Double.NEGATIVE_INFINITY;
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
        return revision;
    }

    /** Returns the items of the copy. */
    public List<SharedStore.Item> items() {
        return new ArrayList<>(items.values());
    }

    /** Returns since when the store has not answered, in milliseconds; 0 if it answers. */
    public double silentMillis() {
        return failingSince < 0 ? 0 : ticker.millis() - failingSince;
    }

    /** Returns how long ago the store answered again after failures, in milliseconds. */
    public double sinceRegainedMillis() {
        return ticker.millis() - regainedAt;
    }

    /** Takes the copy of another daemon if it is newer than this one. */
    public void offer(SharedStore.Range copy, String from) {
        if (copy.revision() <= revision) {
            return;
        }
        LogEvent.of("store-copy-taken")
                .with("prefix", prefix)
                .with("from", from)
                .with("revision", copy.revision())
                .with("had", revision)
                .info(log);
        replace(copy);
    }

    private void step() {
        if (closed) {
            return;
        }
        if (anew) {
            store.range(prefix).onComplete(read -> {
                if (read.succeeded()) {
                    heard();
                    anew = false;
                    if (read.result().revision() >= revision) {
                        replace(read.result());
                    }
                    step();
                } else {
                    failed(read.cause());
                }
            });
        } else {
            store.watch(prefix, revision, WAIT_MILLIS).onComplete(seen -> {
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
        failures = 0;
        if (failingSince >= 0) {
            LogEvent.of("store-regained")
                    .with("prefix", prefix)
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
                    .with("revision", revision)
                    .info(log);
            anew = true;
            step();
            return;
        }
        if (failingSince < 0) {
            failingSince = ticker.millis();
            LogEvent.of("store-lost")
                    .with("prefix", prefix)
                    .with("revision", revision)
                    .with("reason", cause.getMessage())
                    .warn(log);
        }
        int pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, 10));
        failures++;
        anew = anew || failures > 1;
        vertx.setTimer(pause / 2 + random.nextInt(pause), timer -> step());
    }

    private void apply(SharedStore.Changes changes) {
        for (SharedStore.Change change : changes.changes()) {
            SharedStore.Item known = items.get(change.key());
            if (known != null && known.revision() >= change.revision()) {
                continue;
            }
            if (change.value().isPresent()) {
                SharedStore.Item item =
                        new SharedStore.Item(change.key(), change.value().get(), change.revision());
                items.put(change.key(), item);
                listener.written(item);
            } else if (items.remove(change.key()) != null) {
                listener.removed(change.key());
            }
        }
        revision = Math.max(revision, changes.revision());
        listener.current(this);
    }

    private void replace(SharedStore.Range range) {
        Set<String> missing = new HashSet<>(items.keySet());
        for (SharedStore.Item item : range.items()) {
            missing.remove(item.key());
            SharedStore.Item known = items.get(item.key());
            if (known == null || known.revision() < item.revision()) {
                items.put(item.key(), item);
                listener.written(item);
            }
        }
        for (String key : missing) {
            if (items.get(key).revision() <= range.revision()) {
                items.remove(key);
                listener.removed(key);
            }
        }
        revision = range.revision();
        listener.current(this);
    }
}
