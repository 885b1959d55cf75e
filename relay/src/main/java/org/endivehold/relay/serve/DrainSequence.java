package org.endivehold.relay.serve;

/**
 * The phases of a graceful stop, and when each begins.
 *
 * <p>A daemon without active requests may still get one at any moment while its port is open. So having no active
 * request never ends the stop: it closes the port, and only then is what is still open answered and the stop complete.
 * Each step that knows a part of the stop (admission, the port, the end of the process) asks this sequence, so that
 * they cannot disagree.
 *
 * <p>Example with a grace period of 8 s: requests are accepted for 2.96 s. A daemon without requests at 2.65 s closes
 * its port then. One whose last stream ends at 5 s refuses new requests from 2.96 s on and closes its port at 5 s. One
 * with a stream that does not end closes its port at 7.3 s.
 */
final class DrainSequence {
    /** A phase of the stop; phases follow each other in this order, and some may be left out. */
    enum Phase {
        /** The daemon is not stopping. */
        SERVING,
        /** Requests are accepted, since the load balancer still sends some; their connections are closed after them. */
        LEAVING,
        /** New requests are refused; those accepted before go on. */
        REFUSING,
        /** The port is closed; responses are still being sent on open connections. */
        CLOSING
    }

    /**
     * Time from the stop signal until idle connections are closed, in milliseconds: by then the load balancer has
     * noticed that this daemon is stopping.
     */
    static final long CLOSE_IDLE_DELAY_MILLIS = 2_600;
    /** Shortest time from the stop signal until the port may be closed, in milliseconds. */
    private static final long MIN_OPEN_MILLIS = CLOSE_IDLE_DELAY_MILLIS + 50;
    /**
     * Part of the grace period in which new requests are still accepted: the load balancer keeps sending some while few
     * other daemons are ready.
     */
    private static final double ADMISSION_SHARE = 0.37;
    /**
     * Time before the end of the grace period at which the port is closed with requests still active, in milliseconds.
     */
    private static final long CLOSE_BEFORE_GRACE_MILLIS = 700;
    /** Time before the end of the grace period at which connections are cut, in milliseconds. */
    private static final long CUT_BEFORE_GRACE_MILLIS = 400;

    private final double startedAt;
    private final double graceMillis;
    private Phase phase;

    private DrainSequence(double startedAt, double graceMillis, Phase phase) {
        this.startedAt = startedAt;
        this.graceMillis = graceMillis;
        this.phase = phase;
    }

    /** Returns the sequence of a daemon that is not stopping; it stays in its first phase. */
    static DrainSequence serving() {
        return new DrainSequence(Double.POSITIVE_INFINITY, 0, Phase.SERVING);
    }

    /**
     * Begins a stop.
     *
     * @param now time of the stop signal, in milliseconds
     * @param graceMillis time from the stop signal until the process is killed, in milliseconds
     */
    static DrainSequence begin(double now, long graceMillis) {
        return new DrainSequence(now, (double) graceMillis, Phase.LEAVING);
    }

    /** Returns the phase that {@link #update} has reached. */
    Phase phase() {
        return phase;
    }

    /** Returns whether the daemon is stopping. */
    boolean isStopping() {
        return phase != Phase.SERVING;
    }

    /** Returns whether a request that arrives now is accepted. */
    boolean admits(double now) {
        return switch (phase) {
            case SERVING -> true;
            case LEAVING -> now < startedAt + graceMillis * ADMISSION_SHARE;
            case REFUSING, CLOSING -> false;
        };
    }

    /**
     * Moves on to the phase that is due.
     *
     * @param now current time, in milliseconds
     * @param activeRequests requests that are being served
     * @return the phase
     */
    Phase update(double now, int activeRequests) {
        if (phase == Phase.SERVING || phase == Phase.CLOSING) {
            return phase;
        }
        boolean unused = activeRequests == 0 && now >= startedAt + MIN_OPEN_MILLIS;
        if (unused || now >= startedAt + graceMillis - CLOSE_BEFORE_GRACE_MILLIS) {
            phase = Phase.CLOSING;
        } else if (!admits(now)) {
            phase = Phase.REFUSING;
        }
        return phase;
    }

    /** Returns the time that is left until open connections are cut, in milliseconds. */
    long millisUntilCut(double now) {
        return Math.max(0, (long) (startedAt + graceMillis - CUT_BEFORE_GRACE_MILLIS - now));
    }
}
