package org.endivehold.relay.serve;

import java.util.function.Consumer;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.UpstreamAvailability;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * Records what upstreams say about themselves in their answers: that they are leaving, and that they want no request
 * from this daemon for a time. The first concerns all daemons and is passed on to them.
 */
public final class AvailabilityRecorder implements UpstreamAnswerListener {
    /** Remembers which upstreams are leaving. */
    public interface LeavingUpstreams {
        /**
         * Records that an upstream is leaving.
         *
         * @param upstream id of the upstream
         * @param startedAtMillis its start; a later one with the same id is not leaving
         * @return whether that was not known
         */
        boolean markLeaving(String upstream, long startedAtMillis);
    }

    private static final Logger log = Logger.getLogger(AvailabilityRecorder.class);

    private final LeavingUpstreams leavingUpstreams;
    private final UpstreamAvailability availability;
    private final Ticker ticker;
    private final Consumer<PeerMessage> peers;

    /** Creates a recorder that sends messages to the other daemons through {@code peers}. */
    public AvailabilityRecorder(
            LeavingUpstreams leavingUpstreams,
            UpstreamAvailability availability,
            Ticker ticker,
            Consumer<PeerMessage> peers) {
        this.leavingUpstreams = leavingUpstreams;
        this.availability = availability;
        this.ticker = ticker;
        this.peers = peers;
    }

    @Override
    public void answered(Upstream upstream, AnswerFacts head) {
        long startedAtMillis = upstream.entry().startedAtMillis();
        if (head.leaving() && leavingUpstreams.markLeaving(upstream.id(), startedAtMillis)) {
            peers.accept(new PeerMessage.UpstreamLeaving(upstream.id(), startedAtMillis));
        }
        head.retryAfterMillis().ifPresent(millis -> backOff(upstream, millis));
    }

    private void backOff(Upstream upstream, double millis) {
        LogEvent.of("upstream-backoff")
                .with("upstream", upstream.id())
                .with("ms", Math.round(millis))
                .info(log);
        availability.backOff(upstream.id(), millis, (double) ticker.millis());
    }
}
