package org.endivehold.relay.room;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivehold.relay.engine.ContextSplit;
import org.endivehold.relay.engine.EnginePlacement;
import org.endivehold.relay.engine.EngineRoom;

/**
 * Finds the earliest time at which enough engines have room for a request, and the room at these engines.
 *
 * <p>Each way of dividing the context is examined. For one way, an engine is ready when the memory for a part is free,
 * and ready to decode when a slot is free too. With a given decoding engine, the earliest time is that at which it and
 * the first other engines are ready; every engine is examined as the decoding one.
 */
final class RoomSearch {
    private static final Comparator<Readiness> EARLIEST_FIRST = Comparator.comparingDouble(Readiness::memoryAt)
            .thenComparing(Comparator.comparingDouble((Readiness r) -> r.room.freeTokens())
                    .reversed());

    private final RoomRequest request;
    private final List<EngineRoom> engines;
    private final double now;

    RoomSearch(RoomRequest request, List<EngineRoom> engines, double now) {
        this.request = request;
        this.engines = engines;
        this.now = now;
    }

    /** When an engine has memory for a part, and when it has memory and a slot. */
    private record Readiness(EngineRoom room, double memoryAt, double slotAt) {}

    /** Returns the claim that is due first; of those due at the same time, the one with fewest engines. */
    Optional<RoomClaim> earliest() {
        RoomClaim best = null;
        for (ContextSplit split : EnginePlacement.contextSplits(request.need(), request.profile(), engines.size())) {
            RoomClaim claim = earliest(split);
            if (claim != null && (best == null || claim.dueAt() < best.dueAt())) {
                best = claim;
            }
        }
        return Optional.ofNullable(best);
    }

    private RoomClaim earliest(ContextSplit split) {
        List<Readiness> ready = engines.stream()
                .map(room -> new Readiness(
                        room,
                        room.freeAtMillis(split.heldTokens(), 0, now),
                        room.freeAtMillis(split.heldTokens(), 1, now)))
                .filter(readiness -> readiness.memoryAt() < Double.POSITIVE_INFINITY)
                .sorted(EARLIEST_FIRST)
                .toList();
        int helpers = split.engines() - 1;
        if (ready.size() <= helpers) {
            return null;
        }
        double bestAt = Double.POSITIVE_INFINITY;
        int decoder = -1;
        for (int i = 0; i < ready.size(); i++) {
            double at = Math.max(ready.get(i).slotAt(), helpersReadyAt(ready, i, helpers));
            if (at < bestAt) {
                bestAt = at;
                decoder = i;
            }
        }
        return decoder < 0 ? null : claim(split, ready, decoder, bestAt);
    }

    /** Returns the time at which the first engines other than the decoding one are ready. */
    private double helpersReadyAt(List<Readiness> ready, int decoder, int helpers) {
        if (helpers == 0) {
            return now;
        }
        return ready.get(decoder < helpers ? helpers : helpers - 1).memoryAt();
    }

    private RoomClaim claim(ContextSplit split, List<Readiness> ready, int decoder, double dueAt) {
        List<Readiness> others = new ArrayList<>(ready);
        Readiness decoding = others.remove(decoder);
        Map<String, ClaimedRoom> claimed = new HashMap<>();
        claimed.put(decoding.room().engine(), new ClaimedRoom(split.heldTokens(), 1));
        others.subList(0, split.engines() - 1)
                .forEach(helper -> claimed.put(helper.room().engine(), new ClaimedRoom(split.heldTokens(), 0)));
        return new RoomClaim(request.id(), request.service(), dueAt, claimed);
    }
}
