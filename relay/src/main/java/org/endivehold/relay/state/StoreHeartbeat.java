package org.endivehold.relay.state;

import io.vertx.core.Vertx;
import java.util.List;
import org.endivehold.misc.Ticker;

/**
 * Checks at an interval that the store answers this daemon, as long as its copies depend on its own watches.
 *
 * <p>A watch that waits cannot be told from one whose connection no longer delivers anything, until its wait is over.
 * Without a check, this daemon would vouch for its copies until then, and others would rely on that. A ping is a tenth
 * of the price of a watch, so it can be more frequent. If it is not answered, the watches in progress are abandoned and
 * made again without a wait. Example: the host loses the store right after a ping. Its next ping, 700 ms later, fails,
 * and no confirmation leaves this daemon after the loss.
 *
 * <p>Copies that another daemon confirms need no ping, nor do copies whose calls fail: these find out by themselves
 * whether the store is back.
 */
public final class StoreHeartbeat {
    /** Interval between pings, in milliseconds. */
    static final int INTERVAL_MILLIS = 700;

    private final Vertx vertx;
    private final Ticker ticker;
    private final SharedStore store;
    private final List<WatchedPrefix> copies;
    private Runnable listener = () -> {};
    private boolean pending;

    /**
     * Creates the heartbeat; {@link #start} begins with the pings.
     *
     * @param vertx runs the timer
     * @param ticker the clock
     * @param store the store
     * @param copies this daemon's copies of the store's items
     */
    public StoreHeartbeat(Vertx vertx, Ticker ticker, SharedStore store, List<WatchedPrefix> copies) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.store = store;
        this.copies = copies;
    }

    /** Sets the listener that runs each time that the store has just answered. */
    public void onAnswer(Runnable value) {
        listener = value;
    }

    /** Starts the periodic pings. */
    public void start() {
        vertx.setPeriodic(INTERVAL_MILLIS, timer -> beat());
    }

    private void beat() {
        if (pending || copies.stream().noneMatch(WatchedPrefix::isWatching)) {
            return;
        }
        pending = true;
        double sentAt = ticker.millis();
        store.ping().onComplete(done -> {
            pending = false;
            if (done.failed()) {
                copies.forEach(copy -> copy.abandonWatch(done.cause()));
            } else if (ticker.millis() - sentAt <= INTERVAL_MILLIS) {
                // Otherwise this process was paused, and the answer says how the store was before that.
                listener.run();
            }
        });
    }
}
