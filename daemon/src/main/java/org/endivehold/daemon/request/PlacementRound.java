package org.endivehold.daemon.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.endivehold.admission.AdmissionEntry;
import org.endivehold.misc.VersionName;

/**
 * One pass over the queue. It remembers, for each version, the smallest request that no engine had room for, and skips
 * requests of that size or more, so that a pass over a long queue is cheap while the engines are full.
 */
final class PlacementRound {
    private final EngineSelector selector;
    private final LongPromptStarter longPrompts;
    /** Memory of the smallest request of each version that no engine had room for, in tokens. */
    private final Map<VersionName, Long> smallestUnplaced = new HashMap<>();

    private Optional<EngineSelector.Selection> selection = Optional.empty();

    /**
     * Creates a pass.
     *
     * @param selector selects engines for ordinary prompts
     * @param longPrompts starts long prompts on reserved engines
     */
    PlacementRound(EngineSelector selector, LongPromptStarter longPrompts) {
        this.selector = selector;
        this.longPrompts = longPrompts;
    }

    /**
     * Returns whether a request can start now and, if so, acquires a permit for it unless its prompt is long.
     *
     * @param entry the request
     * @return true if {@link #start} can be called for it
     */
    boolean tryPlace(AdmissionEntry<GenerationRun> entry) {
        EngineRequirements requirements = entry.item().requirements();
        if (requirements.isLong()) {
            selection = Optional.empty();
            return longPrompts.mayStart();
        }
        long unplaced = smallestUnplaced.getOrDefault(requirements.version(), Long.MAX_VALUE);
        if (requirements.memoryTokens() >= unplaced) {
            return false;
        }
        selection = selector.select(requirements);
        if (selection.isEmpty()) {
            smallestUnplaced.put(requirements.version(), requirements.memoryTokens());
        }
        return selection.isPresent();
    }

    /**
     * Starts the request for which {@link #tryPlace} last returned true.
     *
     * @param run the request
     */
    void start(GenerationRun run) {
        if (run.requirements().isLong()) {
            longPrompts.start(run);
        } else {
            selection.ifPresent(found -> run.startOn(found, java.util.List.of()));
        }
    }
}
