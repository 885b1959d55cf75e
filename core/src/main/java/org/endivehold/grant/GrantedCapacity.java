package org.endivehold.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import org.endivehold.config.ConfigurationListener;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Upstream;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.Ticker;
import org.endivehold.misc.UpstreamName;

/** The capacity that grantors have granted to this daemon. */
public final class GrantedCapacity implements Capacity, ConfigurationListener {
    /** Name in settings. */
    public static final String NAME = "granted";

    private final GrantHolder holder;
    private final Reserver reserver;
    private final Hunger hunger;
    private final Ticker ticker;
    private final Map<Long, Reservation> reservations = new HashMap<>();
    private SortedMap<UpstreamName, Upstream> serving = new TreeMap<>();

    /** Asks the grantors for reservations. */
    @FunctionalInterface
    public interface Reserver {
        /**
         * Reserves, all or nothing.
         *
         * @param request what is needed
         * @return reservations noted at the holder, which cover the need; fails with {@code RESERVATION_REFUSED}
         */
        CompletionStage<List<Reservation>> reserve(ReservationRequest request);
    }

    /** Is told when work waits that the present grants do not cover. */
    @FunctionalInterface
    public interface Hunger {
        /**
         * Work waits.
         *
         * @param upstream an upstream that could serve it
         */
        void waits(UpstreamName upstream);
    }

    /**
     * Creates a capacity without upstreams, until a configuration is activated.
     *
     * @param holder the grants of this daemon
     * @param reserver asks for reservations
     * @param hunger told of work that waits
     * @param ticker time of calls that do not name one
     */
    public GrantedCapacity(GrantHolder holder, Reserver reserver, Hunger hunger, Ticker ticker) {
        this.holder = holder;
        this.reserver = reserver;
        this.hunger = hunger;
        this.ticker = ticker;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void activated(ConfigurationSnapshot snapshot) {
        serving = ServingUpstreams.of(snapshot.configuration());
        holder.want(serving.keySet());
    }

    @Override
    public List<Share> shares(long now) {
        holder.tick(now);
        List<Share> shares = new ArrayList<>();
        for (UpstreamName name : serving.keySet()) {
            Amount used = holder.used(name);
            Amount free = holder.usable(name, now).minus(used);
            shares.add(new Share(
                    name,
                    free.slots(),
                    free.memoryTokens(),
                    used.slots() + holder.reserved(name).slots(),
                    holder.waitingPrefillTokens(name),
                    holder.reportAgeMillis(name, now)));
        }
        return shares;
    }

    @Override
    public Optional<Permit> acquire(UpstreamName upstream, long memoryTokens, long now) {
        return holder.acquire(upstream, memoryTokens, now);
    }

    @Override
    public CompletionStage<List<Permit>> reserve(ReservationRequest request, long now) {
        List<UpstreamName> candidates =
                request.candidates().stream().filter(serving::containsKey).toList();
        ReservationRequest checked = new ReservationRequest(
                candidates,
                request.memoryTokens(),
                request.prefillTokens(),
                request.mayBeSplit(),
                request.holdMillis());
        return reserver.reserve(checked).thenApply(this::open);
    }

    @Override
    public void release(Permit permit, long now) {
        holder.release(permit);
        Reservation reservation = reservations.remove(permit.id());
        if (reservation != null) {
            holder.close(reservation);
        }
    }

    @Override
    public void suspect(UpstreamName upstream, long now) {
        holder.suspect(upstream, now);
        hunger.waits(upstream);
    }

    @Override
    public void demand(UpstreamName upstream, int slots, long memoryTokens) {
        Amount wanted = new Amount(slots, memoryTokens);
        holder.demand(upstream, wanted);
        Amount free = holder.usable(upstream, ticker.millis()).minus(holder.used(upstream));
        if (!free.covers(wanted)) {
            hunger.waits(upstream);
        }
    }

    @Override
    public void streamStarted(UpstreamName upstream, StreamId stream) {
        holder.streams(upstream).start(stream);
    }

    @Override
    public void streamEnded(UpstreamName upstream, StreamId stream) {
        holder.streams(upstream).end(stream, ticker.millis());
    }

    private List<Permit> open(List<Reservation> made) {
        List<Permit> opened = new ArrayList<>();
        for (Reservation reservation : made) {
            Permit permit = holder.open(reservation);
            reservations.put(permit.id(), reservation);
            opened.add(permit);
        }
        return opened;
    }
}
