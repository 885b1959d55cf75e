package org.endivehold.relay.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Loads of the heaviest days, against the targets of those days; each test names the pattern that it answers. */
class OverloadTest {
    private static final double DAY_MILLIS = 45_000;
    /** Credit that the users ask for on a day of high load of the first site. */
    private static final double HEAVY_TARGET = 0.618;
    /** Credit that the users ask for on a quiet day of the first site. */
    private static final double QUIET_TARGET = 0.754;

    private static final int SEEDS = 3;

    private static List<PromptKind> kinds(double load) {
        return List.of(
                new PromptKind(
                        "short",
                        22.4 * load,
                        300,
                        250,
                        10_000,
                        1.3,
                        0.33,
                        new PromptKind.Length(4_960, 0.9, 23_800),
                        new PromptKind.Length(38.5, 0.7, 96)),
                new PromptKind(
                        "middle",
                        1.26 * load,
                        1_500,
                        600,
                        10_000,
                        3.9,
                        0.97,
                        new PromptKind.Length(45_000, 0.5, 110_000),
                        new PromptKind.Length(23.1, 0.6, 57)),
                new PromptKind(
                        "long",
                        0.583 * load,
                        3_000,
                        1_000,
                        15_000,
                        24,
                        6.1,
                        new PromptKind.Length(182_000, 0.55, 900_000),
                        new PromptKind.Length(19.2, 0.5, 48)));
    }

    /** Many long prompts for 9.5 s, then many short ones, then many long ones again. */
    private static double swinging(PromptKind kind, double millis) {
        boolean longTime = (millis > 1_800 && millis < 11_300) || (millis > 23_000 && millis < 32_500);
        boolean shortTime = millis > 13_000 && millis < 22_500;
        return switch (kind.name()) {
            case "short" -> longTime ? 0.37 : shortTime ? 2.5 : 1;
            case "middle" -> longTime ? 1.3 : shortTime ? 0.5 : 1;
            default -> longTime ? 2.9 : shortTime ? 0.05 : 1;
        };
    }

    private static Outcomes run(int daemons, int engines, double load, Simulation.Surge surge, long seed) {
        double news = daemons > 10 ? 50 : 25;
        return new Simulation(seed, engines, daemons, news).run(kinds(load), surge, DAY_MILLIS);
    }

    /** Pattern: bursts of long prompts beyond what the engines can read, with a surge of short ones behind them. */
    @ParameterizedTest(name = "{0} daemons, {1} engines, load {2}")
    @CsvSource({"6, 16, 1.0", "6, 16, 1.4", "60, 54, 4.7"})
    void aSurgeOfShortPromptsBehindLongOnesIsServedInTime(int daemons, int engines, double load) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Outcomes outcomes = run(daemons, engines, load, OverloadTest::swinging, seed);
            assertTrue(outcomes.credit() >= HEAVY_TARGET, outcomes::toString);
        }
    }

    /** Pattern: the usual mix. */
    @ParameterizedTest(name = "{0} daemons, {1} engines, load {2}")
    @CsvSource({"6, 16, 1.0", "60, 54, 3.4"})
    void theUsualMixIsServedInTime(int daemons, int engines, double load) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Outcomes outcomes = run(daemons, engines, load, (kind, millis) -> 1, seed);
            assertTrue(outcomes.credit() >= QUIET_TARGET, outcomes::toString);
        }
    }

    /** Pattern: two of six daemons do not hear of the others during the bursts. */
    @Test
    @Tag("known-red")
    void daemonsThatAreCutOffDoNotChokeTheEngines() {
        Simulation simulation = new Simulation(1, 16, 6, 25);
        simulation.daemons().subList(0, 2).forEach(daemon -> daemon.cut(true));
        Outcomes outcomes = simulation.run(kinds(1), OverloadTest::swinging, DAY_MILLIS);
        assertTrue(outcomes.credit() >= HEAVY_TARGET, outcomes::toString);
    }

    /** What the rule is for: without it the same load misses the target. */
    @Test
    void withoutTheRuleEnginesChoke() {
        Outcomes outcomes =
                new Simulation(1, 16, 6, 25).withoutRule().run(kinds(1.4), OverloadTest::swinging, DAY_MILLIS);
        assertTrue(outcomes.credit() < HEAVY_TARGET, outcomes::toString);
    }
}
