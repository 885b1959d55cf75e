package org.endivehold.relay.peer;

import java.util.ArrayList;
import java.util.List;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.crash.CrashSuspects;
import org.endivehold.relay.crash.SoundTrait;
import org.endivehold.relay.crash.SuspectTrait;

/**
 * Exchanges the evidence on traits of prompts that crash upstreams between daemons.
 *
 * <p>News is passed on by each daemon that learns it, so it also reaches daemons that the one with the news cannot
 * reach. A daemon that knows a suspect as sound says so: in a large fleet, each daemon sees only few answers with a
 * trait.
 */
public final class SuspectExchange {
    private final CrashSuspects suspects;
    private final Ticker ticker;
    private final SuspectPeers peers;

    /** Creates the exchange of one daemon. */
    public SuspectExchange(CrashSuspects suspects, Ticker ticker, SuspectPeers peers) {
        this.suspects = suspects;
        this.ticker = ticker;
        this.peers = peers;
    }

    /** Tells the other daemons what this one has observed. */
    public void spread(PeerMessage message) {
        peers.spread(message);
    }

    /** Handles a message of another daemon; returns false if it does not concern suspects. */
    public boolean handle(String daemon, PeerMessage message) {
        if (message instanceof PeerMessage.TraitsSuspected theirs) {
            suspected(daemon, theirs.traits());
        } else if (message instanceof PeerMessage.TraitsSound theirs) {
            sound(theirs.traits());
        } else {
            return false;
        }
        return true;
    }

    /** Returns what is known against all suspects, for a daemon that has just connected; empty if there are none. */
    public List<PeerMessage> knowledge() {
        List<SuspectTrait> known = suspects.suspects(now());
        return known.isEmpty() ? List.of() : List.of(new PeerMessage.TraitsSuspected(known));
    }

    private double now() {
        return (double) ticker.millis();
    }

    private void suspected(String daemon, List<SuspectTrait> theirs) {
        List<SuspectTrait> news = new ArrayList<>();
        List<SoundTrait> known = new ArrayList<>();
        for (SuspectTrait trait : theirs) {
            if (suspects.merge(trait, now())) {
                news.add(trait);
                suspects.sound(trait.trait(), now()).ifPresent(known::add);
            }
        }
        if (!news.isEmpty()) {
            peers.spread(new PeerMessage.TraitsSuspected(news));
        }
        if (!known.isEmpty()) {
            peers.send(daemon, new PeerMessage.TraitsSound(known));
        }
    }

    private void sound(List<SoundTrait> theirs) {
        List<SoundTrait> news = new ArrayList<>();
        for (SoundTrait trait : theirs) {
            if (!suspects.recordSound(List.of(trait.trait()), now() - trait.ageMillis())
                    .isEmpty()) {
                news.add(trait);
            }
        }
        if (!news.isEmpty()) {
            peers.spread(new PeerMessage.TraitsSound(news));
        }
    }
}
