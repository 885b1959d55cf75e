package org.endivehold.relay.state;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Ticker;

/**
 * A copy of all items under one prefix of the store, kept current by a long-polled watch.
 *
 * <p>The copy starts with a read of the whole range and continues with watches from the position of its first page. The
 * pages are not a snapshot, but changes made between them are reported again by the watch, and a change replaces an
 * item only if it is later. If the store no longer has the history, the range is read again and compared: items that
 * are missing in it were removed. The range is also read again after two failed calls in a row, unless another daemon
 * has confirmed the copy since. A watch waits as long as a dead connection is still detected within the stable window
 * of the deployment.
 *
 * <p>The first read may be stale, which costs less: the watch from its position reports at once what it lacks. It is
 * made only while the copy is empty, so that it never replaces anything newer, and does not count as a confirmation.
 *
 * <p>During a store outage the copy remains in use, and newer copies of other daemons are accepted.
 *
 * <p>A store that was restored from an older copy rejects the watch, and the range is read anew in the new era. A store
 * that has given out the watched revision again does not reject it but waits; so the first watch after a failed call
 * does not wait, and its answer shows the era.
 *
 * <p>Whatever was written after that copy is missing until its authors write it again, as after an outage; so the
 * restore counts as the end of one, even if it was so short that no call failed.
 *
 * <p>In a large fleet only a few daemons watch; the others receive changes from them ({@code CopyExchange}). A daemon
 * that gets no confirmation from a watching daemon for {@value #PEER_CONFIRMATION_MILLIS} ms starts its own watch from
 * the position of its copy.
 */
public final class WatchedPrefix {
    /** Time within which a connection that delivers nothing is detected by default, in milliseconds. */
    private static final int DEFAULT_STABLE_WINDOW_MILLIS = 3_000;
    /**
     * Time from the end of a watch's wait until a connection that delivers nothing is given up, in milliseconds: the
     * adapter's timeout. A watch waits for the rest of the stable window.
     */
    private static final int DETECTION_MILLIS = 600;
    /** Shortest wait of a watch call, in milliseconds, whatever the stable window. */
    private static final int MIN_WATCH_WAIT_MILLIS = 400;
    /**
     * Part of the wait, as its divisor, by which waits differ at random. Otherwise the watches of all daemons end
     * together after each change; a restore that only the answer of a watch shows is noticed sooner if they do not.
     */
    private static final int WAIT_SPREAD = 5;
    /** Wait of the first watch call after a failed call, in milliseconds. */
    static final int CATCH_UP_WAIT_MILLIS = 1;
    /** Time after the wait by which an answer is expected, in milliseconds; the adapter's timeout is longer. */
    private static final int WATCH_ANSWER_MARGIN_MILLIS = 500;
    /** Validity of a confirmation by a watching daemon, in milliseconds: two intervals and a margin. */
    static final int PEER_CONFIRMATION_MILLIS = 1_600;
    /**
     * Interval at which a copy that makes no calls checks whether those of another one succeed again, in milliseconds.
     */
    private static final int HELD_BACK_POLL_MILLIS = 100;
    /** Delay after an answer that could not be handled, in milliseconds. */
    private static final int NOT_HANDLED_DELAY_MILLIS = 800;

    private final Vertx vertx;
    private final SharedStore store;
    private final String prefix;
    private final Ticker ticker;
    private final UniformRandomProvider random;
    private final ItemListener listener;
    private final PrefixCopy copy;
    private final StoreOutage outage;
    private final StoreEvents events;
    /** Longest wait of one watch call, in milliseconds. */
    private final int watchWaitMillis;

    private BiConsumer<SharedStore.Changes, StorePosition> changeListener = (changes, after) -> {};
    private boolean rangeReadNeeded = true;
    private boolean staleReadAllowed = true;
    private double restoredAt = Double.NEGATIVE_INFINITY;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private double confirmCallAt = Double.NEGATIVE_INFINITY;
    private double heardAt = Double.NEGATIVE_INFINITY;
    /** Whether this copy has made no calls of its own since another daemon confirmed it. */
    private boolean confirmedByPeer;

    private double peerConfirmedUntil = Double.NEGATIVE_INFINITY;
    private Optional<WatchedPrefix> triedBefore = Optional.empty();
    private boolean closed;
    /** Number of the last call or delay; what an earlier one brings is not handled. */
    private int currentStep;

    /** Creates an empty copy as below, with a stable window of {@value #DEFAULT_STABLE_WINDOW_MILLIS} ms. */
    public WatchedPrefix(
            Vertx vertx,
            SharedStore store,
            String prefix,
            Ticker ticker,
            UniformRandomProvider random,
            ItemListener listener) {
        this(vertx, store, prefix, ticker, random, listener, DEFAULT_STABLE_WINDOW_MILLIS);
    }

    /**
     * Creates an empty copy; {@link #start} begins to fill it and reports each item to {@code listener}.
     *
     * @param vertx runs the timers
     * @param store the store
     * @param prefix prefix of the keys of the items
     * @param ticker the clock
     * @param random spreads waits and delays
     * @param listener is told of each change of the copy
     * @param stableWindowMillis time within which a connection that delivers nothing has to be detected
     */
    public WatchedPrefix(
            Vertx vertx,
            SharedStore store,
            String prefix,
            Ticker ticker,
            UniformRandomProvider random,
            ItemListener listener,
            int stableWindowMillis) {
        this.vertx = vertx;
        this.store = store;
        this.prefix = prefix;
        this.ticker = ticker;
        this.random = random;
        this.listener = listener;
        this.copy = new PrefixCopy(listener);
        this.events = new StoreEvents(prefix);
        this.outage = new StoreOutage(ticker, random);
        this.watchWaitMillis = Math.max(MIN_WATCH_WAIT_MILLIS, stableWindowMillis - DETECTION_MILLIS);
    }

    /** Sets the listener for changes reported by the store; it gets the point after which they are complete. */
    public void onChanges(BiConsumer<SharedStore.Changes, StorePosition> value) {
        changeListener = value;
    }

    /** Starts reading the range and then watching it, until {@link #close}. */
    public void start() {
        startNextCall();
    }

    /** Stops after the call in progress; no further call is made. */
    public void close() {
        closed = true;
    }

    /** Returns the key prefix of the items. */
    public String prefix() {
        return prefix;
    }

    /** Returns the point up to which the copy is complete; {@link StorePosition#NONE} before the first read. */
    public StorePosition position() {
        return copy.position();
    }

    /** Returns a point since which no item of the copy has changed. */
    public StorePosition changedAt() {
        return copy.changedAt();
    }

    /** Returns a new list of the items of the copy, in no particular order. */
    public List<SharedStore.Item> items() {
        return copy.items();
    }

    /** Returns whether this copy is kept current by a watch of this daemon, and its last call was answered. */
    boolean isWatching() {
        return !closed && outage.failures() == 0 && !reliesOnPeer() && isFilled();
    }

    /**
     * Abandons the watch in progress, since the store did not answer a ping: the connection of the watch may be silent,
     * too. After the delay of a failed call, a watch that does not wait reports what was missed.
     */
    void abandonWatch(Throwable cause) {
        if (isWatching()) {
            failed(cause);
        }
    }

    /**
     * Returns whether this daemon watches the store, which confirmed the copy within the duration of one watch call.
     */
    public boolean confirmed() {
        return outage.failures() == 0
                && !reliesOnPeer()
                && ticker.millis() - confirmedAt <= watchWaitMillis + WATCH_ANSWER_MARGIN_MILLIS;
    }

    /**
     * Confirms the copy by a watch call that does not wait, beside the watch in progress. A daemon that begins to watch
     * for others calls this; otherwise all of them would watch until its own first watch is answered.
     *
     * @return completes when the copy is confirmed; fails if the store does not answer, or if no call is made: another
     *     daemon watches, or such a call was made within the wait of a watch
     */
    public Future<Void> confirmNow() {
        double now = ticker.millis();
        if (closed || !isFilled() || outage.failures() > 0 || reliesOnPeer() || now - confirmCallAt < watchWaitMillis) {
            return Future.failedFuture("no call is due");
        }
        confirmCallAt = now;
        return store.watch(prefix, position(), CATCH_UP_WAIT_MILLIS).map(changes -> {
            apply(changes);
            return null;
        });
    }

    private boolean reliesOnPeer() {
        return peerConfirmedUntil > ticker.millis();
    }

    /**
     * Sets a copy that finds out for this one whether the store is back: after a failed call, this copy waits for some
     * time as long as the calls of {@code other} fail, too, or another daemon confirms that copy and so soon this one.
     */
    public void tryAfter(WatchedPrefix other) {
        triedBefore = Optional.of(other);
    }

    private boolean isHeldBack() {
        return outage.mayWaitForOther()
                && triedBefore
                        .filter(other -> other.outageMillis() > 0 || other.reliesOnPeer())
                        .isPresent();
    }

    /** Handles the report of a daemon that watches the store for this one that the store does not answer it. */
    public void reportUnavailable() {
        outage.reported();
    }

    /** Returns the duration of the current store outage, in milliseconds; 0 if there is none. */
    public double outageMillis() {
        return outage.millis();
    }

    /**
     * Returns the time since the store, or a daemon that watches it, last confirmed this copy, in milliseconds;
     * infinite if neither did.
     */
    public double sinceHeardMillis() {
        return ticker.millis() - heardAt;
    }

    /** Returns the time since the end of the last store outage, in milliseconds; infinite if there was none. */
    public double sinceOutageMillis() {
        return outage.sinceEndMillis();
    }

    /** Returns the time since this copy learned of a restore of the store, in milliseconds; infinite if it did not. */
    public double sinceRestoreMillis() {
        return ticker.millis() - restoredAt;
    }

    /**
     * Handles the confirmation of another daemon that it watches the store and that its copy is current. This daemon
     * makes no calls of its own while the confirmation is valid. A confirmation of an older era is ignored: it was sent
     * before the sender learned of the store's restore.
     *
     * @param peerPosition position of the other daemon's copy
     * @param changedAt point since which no item of that copy has changed
     * @param sinceOutageMillis time since the store answered that daemon again after an outage
     * @return false if this copy is older than {@code changedAt}, so that changes are missing
     */
    public boolean confirmByPeer(StorePosition peerPosition, StorePosition changedAt, double sinceOutageMillis) {
        if (peerPosition.era() < position().era()) {
            return true;
        }
        double now = ticker.millis();
        peerConfirmedUntil = now + PEER_CONFIRMATION_MILLIS;
        outage.endedAtLeast(now - sinceOutageMillis);
        answered("peer");
        boolean complete = !changedAt.isAfter(position());
        if (complete) {
            copy.unchanged(peerPosition);
        }
        return complete;
    }

    /**
     * Applies changes that the store reported to another daemon.
     *
     * @param changes the changes
     * @param after point after which {@code changes} is complete
     * @return false if this copy is older than {@code after}, so that changes are missing; nothing is applied then
     */
    public boolean applyFromPeer(SharedStore.Changes changes, StorePosition after) {
        if (after.isAfter(position())) {
            return false;
        }
        if (changes.position().isAfter(position())) {
            copy.apply(changes);
            listener.current(this);
        }
        return true;
    }

    /** Replaces this copy by the copy of the daemon {@code from} if that is newer. */
    public void replaceIfNewer(SharedStore.Range theirs, String from) {
        if (!theirs.position().isAfter(position())) {
            return;
        }
        events.copyTaken(position(), theirs.position(), from);
        replace(theirs);
    }

    private void startNextCall() {
        if (closed) {
            return;
        }
        double confirmedMillis = peerConfirmedUntil - ticker.millis();
        if (confirmedMillis > 0 && isFilled()) {
            confirmedByPeer = true;
            startNextCallAfter((int) confirmedMillis + 1);
            return;
        }
        if (confirmedByPeer) {
            confirmedByPeer = false;
            events.confirmationExpired(position(), sinceHeardMillis());
        }
        if (isHeldBack()) {
            startNextCallAfter(HELD_BACK_POLL_MILLIS);
        } else if (rangeReadNeeded || outage.failures() > 1) {
            readRange();
        } else {
            call(() -> store.watch(prefix, position(), waitMillis()), this::apply);
        }
    }

    private void startNextCallAfter(int millis) {
        int step = ++currentStep;
        vertx.setTimer(millis, timer -> {
            if (step == currentStep) {
                startNextCall();
            }
        });
    }

    private int waitMillis() {
        return outage.failures() > 0
                ? CATCH_UP_WAIT_MILLIS
                : watchWaitMillis - random.nextInt(watchWaitMillis / WAIT_SPREAD);
    }

    private void readRange() {
        if (staleReadAllowed && !isFilled()) {
            call(() -> store.staleRange(prefix), this::staleRangeRead);
        } else {
            call(() -> store.range(prefix), this::rangeRead);
        }
    }

    /**
     * Makes a call and handles its answer. Another call follows in any case, since nothing else would start one: also
     * if the call cannot be made or its answer cannot be handled.
     */
    private <T> void call(Supplier<Future<T>> call, Consumer<T> onAnswer) {
        int step = ++currentStep;
        Future.succeededFuture().compose(ignored -> call.get()).onComplete(done -> {
            if (step != currentStep) {
                return;
            }
            if (done.failed()) {
                failed(done.cause());
            } else {
                answered("store");
                handle(done.result(), onAnswer);
            }
        });
    }

    private <T> void handle(T answer, Consumer<T> onAnswer) {
        Future.succeededFuture(answer)
                .map(received -> {
                    onAnswer.accept(received);
                    return received;
                })
                .onSuccess(handled -> startNextCall())
                .onFailure(this::answerNotHandled);
    }

    /** Reads the whole range after a pause: what of the answer has been handled is not known. */
    private void answerNotHandled(Throwable cause) {
        events.answerNotHandled(position(), cause);
        rangeReadNeeded = true;
        startNextCallAfter(NOT_HANDLED_DELAY_MILLIS);
    }

    /** A stale read without items has no position to watch from. */
    private void staleRangeRead(SharedStore.Range range) {
        staleReadAllowed = false;
        if (!isFilled() && !range.items().isEmpty()) {
            rangeReadNeeded = false;
            replace(range);
        }
    }

    private void rangeRead(SharedStore.Range range) {
        confirmedAt = ticker.millis();
        rangeReadNeeded = false;
        if (!position().isAfter(range.position())) {
            replace(range);
        }
    }

    /** Ends the outage, if there is one: the store has answered this daemon or a daemon that confirmed its copy. */
    private void answered(String from) {
        heardAt = ticker.millis();
        double silentMillis = outage.millis();
        outage.answered();
        if (silentMillis > 0) {
            events.regained(from, silentMillis);
        }
    }

    private void failed(Throwable cause) {
        if (cause instanceof EndiveholdException e && e.type() == ErrorType.STORE_HISTORY_GONE) {
            events.historyGone(position());
            rangeReadNeeded = true;
            staleReadAllowed = false;
            startNextCall();
            return;
        }
        if (outage.failures() == 0) {
            events.lost(position(), sinceHeardMillis(), cause);
        }
        startNextCallAfter(outage.failed());
    }

    /** Starts the grace period for entries that the restored store lacks, before they are reported as removed. */
    private void restored(StorePosition to) {
        restoredAt = ticker.millis();
        outage.endedAtLeast(restoredAt);
        events.restored(position(), to);
    }

    private void apply(SharedStore.Changes changes) {
        confirmedAt = ticker.millis();
        StorePosition before = copy.changedAt();
        copy.apply(changes);
        listener.current(this);
        if (!changes.changes().isEmpty()) {
            changeListener.accept(changes, before);
        }
    }

    private boolean isFilled() {
        return position().isAfter(StorePosition.NONE);
    }

    private void replace(SharedStore.Range range) {
        if (isFilled() && range.position().era() > position().era()) {
            restored(range.position());
        }
        copy.replace(range);
        listener.current(this);
    }
}
