package org.endivehold.relay.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.RateLimitAnnouncement;
import org.endivehold.relay.limit.UpstreamRateLimits;
import org.endivehold.relay.route.UpstreamEntry;
import org.jboss.logging.Logger;

/**
 * Exchanges the request rates that upstreams announce between daemons, and in a small fleet each request that is sent
 * to such an upstream. News is passed on by each daemon that learns it: in a large fleet, the sender is connected to
 * the coordinators only.
 */
public final class RateLimitExchange {
    private static final Logger log = Logger.getLogger(RateLimitExchange.class);

    private final UpstreamRateLimits limits;
    private final Ticker ticker;
    private final Consumer<PeerMessage> peers;

    /** Creates the exchange of one daemon, which sends messages to all others through {@code peers}. */
    public RateLimitExchange(UpstreamRateLimits limits, Ticker ticker, Consumer<PeerMessage> peers) {
        this.limits = limits;
        this.ticker = ticker;
        this.peers = peers;
    }

    private double now() {
        return (double) ticker.millis();
    }

    /** Records that this daemon sends new work to an upstream, and tells the others if that has a limit. */
    public void sending(UpstreamEntry upstream) {
        if (limits.recordSent(upstream, now())) {
            peers.accept(new PeerMessage.LimitedRequestSent(upstream.id(), upstream.startedAtMillis()));
        }
    }

    /** Records what an upstream said in an answer to a request of this daemon that was sent at a time. */
    public void answered(RateLimitAnnouncement announcement, double sentAtMillis) {
        announced(announcement, now() - sentAtMillis, "answer");
    }

    /** Handles a message of another daemon; returns false if it does not concern rates. */
    public boolean handle(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.RateLimitAnnounced theirs) {
            announced(theirs.announcement(), theirs.askedMillis(), daemon);
        } else if (message instanceof PeerMessage.LimitedRequestSent sent) {
            limits.recordSentByOther(sent.upstream(), sent.startedAtMillis(), now());
        } else {
            return false;
        }
        return true;
    }

    private void announced(RateLimitAnnouncement announcement, double askedMillis, String from) {
        if (!limits.announced(announcement, now() - askedMillis, now())) {
            return;
        }
        LogEvent.of("upstream-rate-limit")
                .with("upstream", announcement.upstream())
                .with("started_at", announcement.startedAtMillis())
                .with("per_second", announcement.perSecond().orElse(Double.POSITIVE_INFINITY))
                .with("from", from)
                .with("asked_ms", Math.round(askedMillis))
                .info(log);
        peers.accept(new PeerMessage.RateLimitAnnounced(announcement, askedMillis));
    }

    /** Returns the limits of all upstreams, for a daemon that has just connected. */
    public List<PeerMessage> knowledge() {
        List<PeerMessage> messages = new ArrayList<>();
        limits.ages(now()).forEach((limit, age) -> messages.add(new PeerMessage.RateLimitAnnounced(limit, age)));
        return messages;
    }
}
