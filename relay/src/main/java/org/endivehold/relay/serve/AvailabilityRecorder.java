package org.endivehold.relay.serve;

import java.util.function.Consumer;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.RateLimitAnnouncement;
import org.endivehold.relay.limit.UpstreamAvailability;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.RateLimitExchange;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * Records what upstreams say about themselves in their answers: that they are leaving, that they want no request from
 * this daemon for a time, and how many requests a second they take from all daemons. What concerns all daemons is
 * passed on to them, as is each request that is sent to an upstream with such a limit.
 */
public final class AvailabilityRecorder implements UpstreamTrafficListener {
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
    private final RateLimitExchange rateLimits;
    private final Ticker ticker;
    private final Consumer<PeerMessage> peers;

    /** Creates a recorder that sends messages to the other daemons through {@code peers}. */
    public AvailabilityRecorder(
            LeavingUpstreams leavingUpstreams,
            UpstreamAvailability availability,
            RateLimitExchange rateLimits,
            Ticker ticker,
            Consumer<PeerMessage> peers) {
        this.leavingUpstreams = leavingUpstreams;
        this.availability = availability;
        this.rateLimits = rateLimits;
        this.ticker = ticker;
        this.peers = peers;
    }

    @Override
    public void sending(Upstream upstream) {
        rateLimits.sending(upstream.entry());
    }

    @Override
    public void answered(Upstream upstream, AnswerFacts head, double sentAtMillis) {
        long startedAtMillis = upstream.entry().startedAtMillis();
        AnswerFacts.Announcements said = head.announcements();
        if (said.leaving() && leavingUpstreams.markLeaving(upstream.id(), startedAtMillis)) {
            peers.accept(new PeerMessage.UpstreamLeaving(upstream.id(), startedAtMillis));
        }
        said.retryAfterMillis().ifPresent(millis -> backOff(upstream, millis));
        rateLimits.answered(
                new RateLimitAnnouncement(upstream.id(), startedAtMillis, said.requestsPerSecond()), sentAtMillis);
    }

    private void backOff(Upstream upstream, double millis) {
        LogEvent.of("upstream-backoff")
                .with("upstream", upstream.id())
                .with("ms", Math.round(millis))
                .info(log);
        availability.backOff(upstream.id(), millis, (double) ticker.millis());
    }
}
