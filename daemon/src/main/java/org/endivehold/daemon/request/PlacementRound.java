package org.endivehold.daemon.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.endivehold.admission.AdmissionEntry;
import org.endivehold.misc.VersionName;

/**
 * One pass over the queue. It remembers the smallest memory for which no engine of a version had room, so that a long
 * queue behind full engines costs little.
 */
final class PlacementRound {
    private final EngineSelector selector;
    private final LongPromptStarter longPrompts;
    private final Map<VersionName, Long> full = new HashMap<>();
    private Optional<EngineSelector.Selected> selected = Optional.empty();

    /**
     * Creates a pass.
     *
     * @param selector selects engines for ordinary prompts
     * @param longPrompts reserves engines for long ones
     */
    PlacementRound(EngineSelector selector, LongPromptStarter longPrompts) {
        this.selector = selector;
        this.longPrompts = longPrompts;
    }

    /**
     * Tells whether a request can start now; if so, takes a permit for it unless it is long.
     *
     * @param entry the request
     * @return true if {@link #start} can be called for it
     */
    boolean tryPlace(AdmissionEntry<GenerationRun> entry) {
        EngineNeed need = entry.item().need();
        if (need.isLong()) {
            selected = Optional.empty();
            return longPrompts.hasRoom();
        }
        long least = full.getOrDefault(need.version(), Long.MAX_VALUE);
        if (need.memoryTokens() >= least) {
            return false;
        }
        selected = selector.select(need);
        if (selected.isEmpty()) {
            full.put(need.version(), need.memoryTokens());
        }
        return selected.isPresent();
    }

    /**
     * Starts the request that was last found to have room.
     *
     * @param run the request
     */
    void start(GenerationRun run) {
        if (run.need().isLong()) {
            longPrompts.start(run);
        } else {
            selected.ifPresent(found -> run.begin(found, java.util.List.of()));
        }
    }
}
