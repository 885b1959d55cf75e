package org.endivehold.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.endivehold.config.ConfigurationListener;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.UpstreamName;

/** Base of the capacities that each daemon derives from the configuration alone, without talking to others. */
public abstract class ConfiguredCapacity implements Capacity, ConfigurationListener {
    /** Limit of an upstream that limits itself. */
    protected static final int WARM_SLOTS = Integer.MAX_VALUE;

    private final PermitBook permits = new PermitBook();
    private SortedMap<UpstreamName, Upstream> serving = new TreeMap<>();

    /** Creates a capacity without upstreams, until a configuration is activated. */
    protected ConfiguredCapacity() {}

    /**
     * Returns this daemon's part of an upstream.
     *
     * @param upstream a serving upstream
     * @param now monotonic time in milliseconds
     * @return the part
     */
    protected abstract Amount limit(Upstream upstream, long now);

    @Override
    public void activated(ConfigurationSnapshot snapshot) {
        serving = ServingUpstreams.of(snapshot.configuration());
    }

    @Override
    public List<Share> shares(long now) {
        List<Share> shares = new ArrayList<>();
        for (Upstream upstream : serving.values()) {
            Amount free = free(upstream, now);
            int used = used(upstream.name()).slots();
            shares.add(new Share(upstream.name(), free.slots(), free.memoryTokens(), used));
        }
        return shares;
    }

    @Override
    public Optional<Permit> acquire(UpstreamName upstream, long memoryTokens, long now) {
        Upstream target = serving.get(upstream);
        if (target == null || !free(target, now).covers(new Amount(1, memoryTokens))) {
            return Optional.empty();
        }
        return Optional.of(permits.open(upstream, memoryTokens, false));
    }

    @Override
    public CompletionStage<List<Permit>> reserve(ReservationRequest request, long now) {
        List<Permit> taken = new ArrayList<>();
        long missing = request.memoryTokens();
        for (UpstreamName name : request.candidates()) {
            long part = part(name, missing, request.mayBeSplit(), now);
            if (part > 0) {
                taken.add(permits.open(name, part, true));
                missing -= part;
            }
            if (missing == 0) {
                return CompletableFuture.completedFuture(taken);
            }
        }
        taken.forEach(permits::close);
        return CompletableFuture.failedFuture(
                new EndiveholdException(ErrorType.RESERVATION_REFUSED, request.memoryTokens()));
    }

    @Override
    public void release(Permit permit, long now) {
        permits.close(permit);
    }

    @Override
    public void suspect(UpstreamName upstream, long now) {}

    private long part(UpstreamName name, long missing, boolean split, long now) {
        Upstream upstream = serving.get(name);
        if (upstream == null) {
            return 0;
        }
        Amount free = free(upstream, now);
        if (free.slots() == 0 || (!split && free.memoryTokens() < missing)) {
            return 0;
        }
        long most = split ? Math.min(free.memoryTokens(), upstream.memoryTokens()) : free.memoryTokens();
        return Math.min(missing, most);
    }

    private Amount free(Upstream upstream, long now) {
        return limit(upstream, now).minus(used(upstream.name()));
    }

    private Amount used(UpstreamName name) {
        return permits.pooled(name).plus(permits.reserved(name));
    }
}
