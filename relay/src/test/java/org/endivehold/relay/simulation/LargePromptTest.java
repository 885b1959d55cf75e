package org.endivehold.relay.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against large prompts that are refused because shorter ones keep taking the memory that comes free. */
class LargePromptTest {
    private static final EngineProfile PROFILE =
            new EngineProfile(8, 197_200, 34, 1.31, 0.000917, 0.00213, 154, 0.162, 2_048);
    private static final int ENGINES = 8;
    private static final double LOAD_MILLIS = 60_000;
    private static final double DRAIN_MILLIS = 30_000;
    private static final int SEEDS = 3;
    /** Large prompts that are served with claims, for each one served without. */
    private static final double MIN_GAIN = 1.5;

    /** More short prompts than the memory of the engines has room for. */
    private static final PromptKind SHORT = new PromptKind(
            "short",
            25,
            4_000,
            4_000,
            20_000,
            1.3,
            0.33,
            new PromptKind.Length(20_000, 0.3, 23_800),
            new PromptKind.Length(38.5, 0.5, 96));
    /** Each needs the memory of several engines. */
    private static final PromptKind LARGE = new PromptKind(
            "large",
            0.2,
            6_024,
            1_000,
            30_000,
            24,
            6.1,
            new PromptKind.Length(360_000, 0.01, 400_000),
            new PromptKind.Length(19.2, 0.3, 48));

    private static Outcomes run(TrafficClass traffic, long seed) {
        VirtualTime time = new VirtualTime();
        SchedulerDaemon daemon = new SchedulerDaemon(time, PROFILE, ENGINES, request -> traffic);
        Outcomes outcomes = new Outcomes(() -> daemon);
        Random random = new Random(seed);
        for (PromptKind kind : List.of(SHORT, LARGE)) {
            double at = 0;
            while (at < LOAD_MILLIS) {
                at += -Math.log(1 - random.nextDouble()) / kind.perSecond() * 1_000;
                double tokens = kind.tokens().draw(random);
                int events = (int) Math.max(1, kind.events().draw(random));
                time.after(at, () -> new SimulatedRequest(kind, tokens, events, time, outcomes).submitTo(daemon));
            }
        }
        time.runUntil(LOAD_MILLIS + DRAIN_MILLIS);
        return outcomes;
    }

    /** Requests of the default class claim no room, so that they show what happens without claims. */
    @Test
    void moreLargePromptsAreServedBetweenEndlessShortOnes() {
        int kept = 0;
        int plain = 0;
        StringBuilder outcomes = new StringBuilder();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Outcomes withClaims = run(new TrafficClass("customer", 0, 0), seed);
            Outcomes withoutClaims = run(TrafficClass.DEFAULT, seed);
            kept += served(withClaims);
            plain += served(withoutClaims);
            outcomes.append(withClaims)
                    .append(", without claims ")
                    .append(withoutClaims)
                    .append('\n');
        }
        assertTrue(kept >= MIN_GAIN * plain, outcomes::toString);
    }

    private static int served(Outcomes outcomes) {
        return outcomes.count("large").inTime + outcomes.count("large").late;
    }
}
