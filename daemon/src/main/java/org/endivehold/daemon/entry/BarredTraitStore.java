package org.endivehold.daemon.entry;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.crash.CrashSuspects;
import org.endivehold.relay.crash.RequestTrait;
import org.endivehold.relay.crash.SuspectTrait;
import org.endivehold.relay.crash.UpstreamStart;
import org.endivehold.relay.json.BoundedJson;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StoreLease;
import org.jboss.logging.Logger;

/**
 * Keeps the barred traits of prompts in the store, so that they stay barred if all daemons end at the same moment.
 *
 * <p>All daemons come to the same verdicts, so two of them write each trait, the same two for all that know the same
 * members. A lease removes an entry that no daemon writes again.
 */
final class BarredTraitStore implements CrashSuspects.Listener {
    /** Time to live of an entry that is not written again, in milliseconds; the longest that the store grants. */
    private static final int LEASE_MILLIS = 600_000;
    /** Interval at which an entry is written again, in milliseconds; two writes may fail. */
    private static final int REWRITE_INTERVAL_MILLIS = 180_000;
    /** Delay after a failed read, in milliseconds. */
    private static final int RETRY_DELAY_MILLIS = 1_500;

    private static final String CRASHES = "crashes";
    private static final String UPSTREAM = "upstream";
    private static final String STARTED_AT = "started_at";
    private static final String TRIALS = "trials";

    private static final Logger log = Logger.getLogger(BarredTraitStore.class);

    private final Vertx vertx;
    private final SharedStore store;
    private final String prefix;
    private final Ticker ticker;
    private final Predicate<RequestTrait> isOwn;
    private final Map<RequestTrait, StoreLease> written = new HashMap<>();
    private CrashSuspects suspects;

    /**
     * Creates the store of barred traits.
     *
     * @param vertx runs the timers
     * @param store the platform's store
     * @param prefix prefix of the keys; the rest of a key names a trait
     * @param ticker the clock
     * @param isOwn whether this daemon is one of those that write a trait
     */
    BarredTraitStore(Vertx vertx, SharedStore store, String prefix, Ticker ticker, Predicate<RequestTrait> isOwn) {
        this.vertx = vertx;
        this.store = store;
        this.prefix = prefix;
        this.ticker = ticker;
        this.isOwn = isOwn;
    }

    /**
     * Reads the barred traits, which may be stale as other daemons report them too, until that succeeds, and starts to
     * write this daemon's own ones again.
     *
     * @param evidence the evidence of the fleet, which this store keeps
     */
    void start(CrashSuspects evidence) {
        suspects = evidence;
        read();
        vertx.setPeriodic(REWRITE_INTERVAL_MILLIS, timer -> writeAgain());
    }

    private void read() {
        store.staleRange(prefix)
                .onSuccess(range -> range.items().forEach(this::merge))
                .onFailure(failure -> vertx.setTimer(RETRY_DELAY_MILLIS, timer -> read()));
    }

    private void merge(SharedStore.Item item) {
        try {
            RequestTrait trait = RequestTrait.parse(item.key().substring(prefix.length()));
            JsonObject json = BoundedJson.object(item.value());
            List<SuspectTrait.Crash> crashes = new ArrayList<>();
            for (Object each : json.getJsonArray(CRASHES)) {
                JsonObject crash = (JsonObject) each;
                UpstreamStart start = new UpstreamStart(crash.getString(UPSTREAM), crash.getLong(STARTED_AT));
                crashes.add(new SuspectTrait.Crash(start, 0));
            }
            suspects.merge(new SuspectTrait(trait, crashes, json.getInteger(TRIALS)), (double) ticker.millis());
            LogEvent.of("trait-read")
                    .with("trait", trait)
                    .with("crashes", crashes.size())
                    .info(log);
        } catch (EndiveholdException | ClassCastException | NullPointerException | IllegalArgumentException e) {
            LogEvent.of("trait-unreadable")
                    .with("key", item.key())
                    .with("reason", e.getMessage())
                    .warn(log);
        }
    }

    @Override
    public void barred(SuspectTrait evidence) {
        LogEvent.of("trait-barred")
                .with("trait", evidence.trait())
                .with("crashes", evidence.crashes().size())
                .with(
                        "upstreams",
                        evidence.crashes().stream()
                                .map(crash -> crash.upstream().upstream())
                                .toList())
                .warn(log);
        if (isOwn.test(evidence.trait())) {
            write(evidence);
        }
    }

    @Override
    public void released(RequestTrait trait) {
        LogEvent.of("trait-released").with("trait", trait).info(log);
        if (written.containsKey(trait)) {
            remove(trait);
        }
    }

    private void write(SuspectTrait barred) {
        store.grantLease(LEASE_MILLIS)
                .compose(lease -> store.put(prefix + barred.trait(), encode(barred), lease)
                        .map(lease))
                .onSuccess(lease -> written.put(barred.trait(), lease))
                .onFailure(failure -> LogEvent.of("trait-not-written")
                        .with("trait", barred.trait())
                        .with("reason", failure.getMessage())
                        .warn(log));
    }

    private void writeAgain() {
        suspects.barredTraits().stream()
                .filter(isOwn)
                .forEach(trait -> write(suspects.suspect(trait, (double) ticker.millis())));
    }

    private void remove(RequestTrait trait) {
        store.revokeLease(written.remove(trait)).onFailure(failure -> LogEvent.of("trait-not-removed")
                .with("trait", trait)
                .with("reason", failure.getMessage())
                .info(log));
    }

    private static Buffer encode(SuspectTrait barred) {
        JsonArray crashes = new JsonArray();
        for (SuspectTrait.Crash crash : barred.crashes()) {
            crashes.add(new JsonObject()
                    .put(UPSTREAM, crash.upstream().upstream())
                    .put(STARTED_AT, crash.upstream().startedAtMillis()));
        }
        return new JsonObject()
                .put(CRASHES, crashes)
                .put(TRIALS, barred.trials())
                .toBuffer();
    }
}
