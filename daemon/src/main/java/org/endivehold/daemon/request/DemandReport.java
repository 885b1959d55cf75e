package org.endivehold.daemon.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;

/** Tells the capacity how much work waits for each engine, so that grants can follow. */
final class DemandReport {
    private final GenerationResources resources;
    private final EngineSelector selector;
    private Set<UpstreamName> reported = new HashSet<>();

    /**
     * Creates the report.
     *
     * @param resources the capacity
     * @param selector knows which engines serve a version
     */
    DemandReport(GenerationResources resources, EngineSelector selector) {
        this.resources = resources;
        this.selector = selector;
    }

    private record Demand(int slots, long memoryTokens) {
        Demand plus(Demand other) {
            return new Demand(slots + other.slots, memoryTokens + other.memoryTokens);
        }
    }

    /**
     * Reports anew.
     *
     * @param waiting the requests that wait
     */
    void report(List<GenerationRun> waiting) {
        Map<VersionName, Demand> demands = new HashMap<>();
        for (GenerationRun run : waiting) {
            EngineNeed need = run.need();
            demands.merge(need.version(), new Demand(1, need.memoryTokens()), Demand::plus);
        }
        Map<UpstreamName, Demand> wanted = new HashMap<>();
        demands.forEach((version, demand) ->
                selector.serving(version).keySet().forEach(name -> wanted.merge(name, demand, Demand::plus)));
        for (UpstreamName name : reported) {
            if (!wanted.containsKey(name)) {
                resources.capacity().demand(name, 0, 0);
            }
        }
        wanted.forEach((name, demand) -> resources.capacity().demand(name, demand.slots(), demand.memoryTokens()));
        reported = new HashSet<>(wanted.keySet());
    }
}
