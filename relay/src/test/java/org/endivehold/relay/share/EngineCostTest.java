package org.endivehold.relay.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.EngineProfile;
import org.junit.jupiter.api.Test;

class EngineCostTest {
    private static final EngineProfile PROFILE =
            new EngineProfile(8, 200_000, 34, 1.31, 0.000917, 0.00213, 154, 0.162, 2_048);

    /** A customer that counted requests would pay as little for a long prompt as for a short one. */
    @Test
    void aLongPromptCostsItsPrefillAndItsMemory() {
        EngineCost small = EngineCost.of(new PromptNeed(5_000, 1_300, 300, 250, 0, 15_000), PROFILE);
        EngineCost large = EngineCost.of(new PromptNeed(180_000, 1_300, 6_000, 250, 0, 15_000), PROFILE);
        double prefill = PROFILE.prefillMillis(180_000, 1);
        assertTrue(small.engineMillis() < small.runMillis() / 4, () -> "cost " + small);
        assertTrue(large.engineMillis() > prefill + 0.9 * (large.runMillis() - prefill), () -> "cost " + large);
    }

    /** A daemon that learns of a job only would count it differently from the one that placed it. */
    @Test
    void aJobCostsWhatItsRequestCosts() {
        EngineJob job =
                new EngineJob(new JobId("daemon", 1), List.of("a", "b"), List.of(1L, 0L), 180_000, 1_300, 6_000, 250);
        PromptNeed need = new PromptNeed(180_000, 1_300, 6_000, 250, 0, 15_000);
        assertEquals(EngineCost.of(need, PROFILE), EngineCost.of(job, PROFILE));
    }
}
