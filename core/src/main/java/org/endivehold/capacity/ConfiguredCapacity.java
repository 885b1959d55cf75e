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

/**
 * Base class for capacities that a daemon computes by itself from the configuration, without coordination with other
 * daemons.
 */
public abstract class ConfiguredCapacity implements Capacity, ConfigurationListener {
    /** Slot limit of an upstream that refuses excess requests itself. */
    protected static final int UNLIMITED_SLOTS = Integer.MAX_VALUE;

    private final PermitRegistry permits = new PermitRegistry();
    private SortedMap<UpstreamName, Upstream> serving = new TreeMap<>();

    /** Creates a capacity without upstreams, until a configuration is activated. */
    protected ConfiguredCapacity() {}

    /**
     * Returns the most that this daemon may use of an upstream at once.
     *
     * @param upstream an upstream that takes new work
     * @param now monotonic time in milliseconds
     * @return the limit, including what is in use
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
        List<Permit> permitsTaken = new ArrayList<>();
        long missingTokens = request.memoryTokens();
        for (UpstreamName name : request.candidates()) {
            long reservableTokens = reservableTokens(name, missingTokens, request.mayBeSplit(), now);
            if (reservableTokens > 0) {
                permitsTaken.add(permits.open(name, reservableTokens, true));
                missingTokens -= reservableTokens;
            }
            if (missingTokens == 0) {
                return CompletableFuture.completedFuture(permitsTaken);
            }
        }
        permitsTaken.forEach(permits::close);
        return CompletableFuture.failedFuture(
                new EndiveholdException(ErrorType.RESERVATION_REFUSED, request.memoryTokens()));
    }

    @Override
    public void release(Permit permit, long now) {
        permits.close(permit);
    }

    @Override
    public void suspect(UpstreamName upstream, long now) {}

    private long reservableTokens(UpstreamName name, long missingTokens, boolean maySplit, long now) {
        Upstream upstream = serving.get(name);
        if (upstream == null) {
            return 0;
        }
        Amount free = free(upstream, now);
        if (free.slots() == 0 || (!maySplit && free.memoryTokens() < missingTokens)) {
            return 0;
        }
        long available = maySplit ? Math.min(free.memoryTokens(), upstream.memoryTokens()) : free.memoryTokens();
        return Math.min(missingTokens, available);
    }

    private Amount free(Upstream upstream, long now) {
        return limit(upstream, now).minus(used(upstream.name()));
    }

    private Amount used(UpstreamName name) {
        return permits.unreserved(name).plus(permits.reserved(name));
    }
}
