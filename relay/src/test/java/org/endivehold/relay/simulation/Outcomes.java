package org.endivehold.relay.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/** How the requests of a simulated load ended. */
final class Outcomes {
    /** Counts of one kind. */
    static final class Count {
        int asked;
        int inTime;
        int late;
        int lost;
        double owed;
        double earned;

        @Override
        public String toString() {
            return "asked=" + asked + " in time=" + inTime + " late=" + late + " lost=" + lost;
        }
    }

    private final Map<String, Count> counts = new LinkedHashMap<>();
    private final Supplier<SimulatedDaemon> daemons;

    Outcomes(Supplier<SimulatedDaemon> daemons) {
        this.daemons = daemons;
    }

    SimulatedDaemon anyDaemon() {
        return daemons.get();
    }

    void asked(PromptKind kind, double tokens) {
        Count count = count(kind.name());
        count.asked++;
        count.owed += kind.credit(tokens, true);
    }

    void served(PromptKind kind, double tokens, boolean inTime) {
        Count count = count(kind.name());
        count.inTime += inTime ? 1 : 0;
        count.late += inTime ? 0 : 1;
        count.earned += kind.credit(tokens, inTime);
    }

    void lost(PromptKind kind) {
        count(kind.name()).lost++;
    }

    Count count(String kind) {
        return counts.computeIfAbsent(kind, name -> new Count());
    }

    /** Returns the credit earned, as a part of what was owed. */
    double credit() {
        double earned = counts.values().stream().mapToDouble(c -> c.earned).sum();
        return earned / counts.values().stream().mapToDouble(c -> c.owed).sum();
    }

    @Override
    public String toString() {
        return "credit " + credit() + " " + counts;
    }
}
