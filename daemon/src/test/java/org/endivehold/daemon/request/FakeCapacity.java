package org.endivehold.daemon.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.endivehold.capacity.Capacity;
import org.endivehold.capacity.Permit;
import org.endivehold.capacity.ReservationRequest;
import org.endivehold.capacity.Share;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.UpstreamName;

/** Capacity with a fixed number of slots and tokens per upstream; records held permits and repeated releases. */
final class FakeCapacity implements Capacity {
    final List<Permit> held = new ArrayList<>();
    final List<Permit> doubleReleases = new ArrayList<>();
    final List<UpstreamName> suspected = new ArrayList<>();
    final List<ReservationRequest> reservations = new ArrayList<>();
    final Map<UpstreamName, Integer> slots = new TreeMap<>();
    long memoryTokens = 100_000;
    private long permits;

    @Override
    public String name() {
        return "fake";
    }

    @Override
    public List<Share> shares(long now) {
        List<Share> shares = new ArrayList<>();
        slots.forEach((name, count) ->
                shares.add(new Share(name, count - used(name), memoryTokens - memory(name), used(name))));
        return shares;
    }

    private int used(UpstreamName name) {
        return (int) held.stream().filter(p -> p.upstream().equals(name)).count();
    }

    private long memory(UpstreamName name) {
        return held.stream()
                .filter(p -> p.upstream().equals(name))
                .mapToLong(Permit::memoryTokens)
                .sum();
    }

    @Override
    public Optional<Permit> acquire(UpstreamName upstream, long tokens, long now) {
        boolean room = used(upstream) < slots.getOrDefault(upstream, 0) && memory(upstream) + tokens <= memoryTokens;
        return room ? Optional.of(take(upstream, tokens, false)) : Optional.empty();
    }

    private Permit take(UpstreamName upstream, long tokens, boolean reserved) {
        Permit permit = new Permit(++permits, upstream, tokens, reserved);
        held.add(permit);
        return permit;
    }

    @Override
    public CompletionStage<List<Permit>> reserve(ReservationRequest request, long now) {
        reservations.add(request);
        List<Permit> taken = new ArrayList<>();
        long left = request.memoryTokens();
        for (UpstreamName name : request.candidates()) {
            long free = memoryTokens - memory(name);
            boolean enough = free >= left || request.mayBeSplit();
            if (left > 0 && enough && used(name) < slots.getOrDefault(name, 0)) {
                taken.add(take(name, Math.min(free, left), true));
                left -= Math.min(free, left);
            }
        }
        if (left > 0) {
            held.removeAll(taken);
            return CompletableFuture.failedFuture(
                    new EndiveholdException(ErrorType.RESERVATION_REFUSED, request.memoryTokens()));
        }
        return CompletableFuture.completedFuture(taken);
    }

    @Override
    public void release(Permit permit, long now) {
        if (!held.remove(permit)) {
            doubleReleases.add(permit);
        }
    }

    @Override
    public void suspect(UpstreamName upstream, long now) {
        suspected.add(upstream);
    }
}
