package org.endivehold.grant;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivehold.misc.BootNumber;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.PlainLoad;
import org.endivehold.upstream.StreamOwner;

/**
 * A load report as the grantor uses it.
 *
 * @param takenAt monotonic time at the grantor before which the upstream cannot have made the report, in milliseconds
 * @param boot boot number of the upstream
 * @param cold whether it says that it is in cold start
 * @param limit what it says it can bear when warm
 * @param overloadEvents overloads since its boot
 * @param waitingPrefillTokens prompt tokens that wait there
 * @param inFlight streams or calls in progress
 * @param byOwner capacity in use by owner; empty if the upstream does not tell
 * @param engine the engine's whole report, for an engine
 */
public record UpstreamReport(
        long takenAt,
        BootNumber boot,
        boolean cold,
        Amount limit,
        long overloadEvents,
        long waitingPrefillTokens,
        int inFlight,
        Optional<Map<StreamOwner, Amount>> byOwner,
        Optional<EngineLoad> engine) {
    /**
     * Reads an engine's report.
     *
     * @param load the report
     * @param polledAt monotonic time at which it was asked for, in milliseconds
     * @return the report
     */
    public static UpstreamReport of(EngineLoad load, long polledAt) {
        Map<StreamOwner, Amount> byOwner = new HashMap<>();
        for (EngineLoad.RunningStream stream : load.streams()) {
            byOwner.merge(stream.owner(), new Amount(1, stream.tokens()), Amount::plus);
        }
        for (EngineLoad.HeldCache cache : load.caches()) {
            byOwner.merge(cache.owner(), new Amount(0, cache.tokens()), Amount::plus);
        }
        return new UpstreamReport(
                polledAt - load.ageMillis(),
                load.boot(),
                load.cold(),
                new Amount(load.slots(), load.memoryTokens()),
                load.overloadEvents(),
                load.waitingPrefillTokens(),
                load.streams().size(),
                Optional.of(Map.copyOf(byOwner)),
                Optional.of(load));
    }

    /**
     * Reads a plain service's report.
     *
     * @param load the report
     * @param polledAt monotonic time at which it was asked for, in milliseconds
     * @return the report
     */
    public static UpstreamReport of(PlainLoad load, long polledAt) {
        return new UpstreamReport(
                polledAt - load.ageMillis(),
                load.boot(),
                load.cold(),
                new Amount(load.slots(), Long.MAX_VALUE),
                load.overloadEvents(),
                0,
                load.inFlight(),
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Returns the most that an owner can have in use by this report.
     *
     * @param owner the owner
     * @param before what it may have had in use before
     * @return an upper bound
     */
    Amount usedBy(StreamOwner owner, Amount before) {
        if (byOwner.isPresent()) {
            return byOwner.get().getOrDefault(owner, Amount.ZERO);
        }
        return before.min(new Amount(inFlight, before.memoryTokens()));
    }

    /** Returns the identifiers of the engine's streams; empty for a plain service. */
    List<EngineLoad.RunningStream> streams() {
        return engine.map(EngineLoad::streams).orElse(List.of());
    }
}
