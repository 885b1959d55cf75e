package org.endivehold.relay.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Counts how the requests of a simulated load ended. */
final class Outcomes {
    /** Counts for one kind of prompts. */
    static final class Count {
        int asked;
        int inTime;
        int late;
        int lost;
        double possibleCredit;
        double earnedCredit;

        @Override
        public String toString() {
            return "asked=" + asked + " in time=" + inTime + " late=" + late + " lost=" + lost;
        }
    }

    private final Map<String, Count> counts = new LinkedHashMap<>();
    private final Supplier<? extends RequestDaemon> daemons;

    Outcomes(Supplier<? extends RequestDaemon> daemons) {
        this.daemons = daemons;
    }

    /** Returns a random daemon, for a caller that retries. */
    RequestDaemon randomDaemon() {
        return daemons.get();
    }

    void asked(PromptKind kind, double tokens) {
        Count count = count(kind.name());
        count.asked++;
        count.possibleCredit += kind.credit(tokens, true);
    }

    void served(PromptKind kind, double tokens, boolean inTime) {
        Count count = count(kind.name());
        count.inTime += inTime ? 1 : 0;
        count.late += inTime ? 0 : 1;
        count.earnedCredit += kind.credit(tokens, inTime);
    }

    void lost(PromptKind kind) {
        count(kind.name()).lost++;
    }

    Count count(String kind) {
        return counts.computeIfAbsent(kind, name -> new Count());
    }

    /** Returns the credit that was earned, as a share of the credit if all requests had been served in time. */
    double credit() {
        double earned =
                counts.values().stream().mapToDouble(c -> c.earnedCredit).sum();
        return earned
                / counts.values().stream().mapToDouble(c -> c.possibleCredit).sum();
    }

    @Override
    public String toString() {
        return "credit " + credit() + " " + counts;
    }
}
