package org.endivehold.daemon.request;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.endivehold.capacity.Capacity;
import org.endivehold.capacity.Permit;
import org.endivehold.capacity.ReservationRequest;
import org.endivehold.capacity.Share;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.misc.UpstreamName;

/** Capacity with a number of slots per upstream that tests set; used on the event loop only. */
final class SlotCapacity implements Service, Capacity {
    final Map<UpstreamName, Integer> freeSlots = new HashMap<>();
    final Set<UpstreamName> suspected = new HashSet<>();
    private final Set<Long> taken = new HashSet<>();
    private long permits;

    @Override
    public String name() {
        return "capacity";
    }

    int taken() {
        return taken.size();
    }

    @Override
    public List<Share> shares(long now) {
        return List.of();
    }

    @Override
    public Optional<Permit> acquire(UpstreamName upstream, long memoryTokens, long now) {
        int slots = freeSlots.getOrDefault(upstream, 0);
        if (slots == 0) {
            return Optional.empty();
        }
        freeSlots.put(upstream, slots - 1);
        permits++;
        taken.add(permits);
        return Optional.of(new Permit(permits, upstream, memoryTokens, false));
    }

    @Override
    public CompletionStage<List<Permit>> reserve(ReservationRequest request, long now) {
        return new CompletableFuture<>();
    }

    @Override
    public void release(Permit permit, long now) {
        if (taken.remove(permit.id())) {
            freeSlots.merge(permit.upstream(), 1, Integer::sum);
        }
    }

    @Override
    public void suspect(UpstreamName upstream, long now) {
        suspected.add(upstream);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        return Future.succeededFuture();
    }
}
