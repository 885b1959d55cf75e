package org.endivehold.bench.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.endivehold.config.Configuration;
import org.endivehold.error.EndiveholdException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class WorkloadTest {
    private static final List<Phase> PHASES =
            List.of(new Phase("short", 60_000, 0.5, 32_000), Phase.of(Phase.SURGE, 60_000, 0.5));

    private static Workload draw(Size size, long seed) throws EndiveholdException {
        Configuration configuration = size.configuration(Path.of("..", "examples"));
        return Workload.draw(size, configuration, 10, seed, PHASES);
    }

    @ParameterizedTest
    @EnumSource(Size.class)
    void drawsTheStatedMix(Size size) throws EndiveholdException {
        List<Arrival> surge = draw(size, 7).arrivals().stream()
                .filter(a -> a.phase().equals(Phase.SURGE) && a.kind().isGeneration())
                .toList();
        long longOnes = surge.stream().filter(a -> a.promptTokens() > 100_000).count();
        assertEquals(0.02, (double) longOnes / surge.size(), 0.006);
        long longest = surge.stream().mapToLong(Arrival::promptTokens).max().orElse(0);
        assertTrue(longest > 700_000 && longest <= 1_000_000, "longest " + longest);
        assertTrue(surge.stream().allMatch(a -> a.promptTokens() >= 1_000));
        long ofLarge = surge.stream()
                .filter(a -> size.largeCustomers().contains(a.customer()))
                .count();
        assertEquals(0.7, (double) ofLarge / surge.size(), 0.05);
    }

    @ParameterizedTest
    @EnumSource(Size.class)
    void leavesLongPromptsOutWhereAsked(Size size) throws EndiveholdException {
        assertFalse(draw(size, 7).arrivals().stream()
                .anyMatch(a -> a.phase().equals("short") && a.promptTokens() > 32_000));
    }

    @ParameterizedTest
    @EnumSource(Size.class)
    void dependsOnTheSeedAlone(Size size) throws EndiveholdException {
        assertEquals(draw(size, 7), draw(size, 7));
        assertNotEquals(draw(size, 7), draw(size, 8));
    }

    @ParameterizedTest
    @EnumSource(Size.class)
    void makesPromptsOfTheirLength(Size size) throws EndiveholdException {
        PromptText texts = new PromptText(3);
        for (Arrival arrival : draw(size, 7).arrivals().subList(0, 40)) {
            if (arrival.kind().isGeneration()) {
                String text = texts.of(arrival);
                assertEquals(arrival.promptTokens() * 4, text.length());
                assertTrue(text.contains("request " + arrival.number() + " "));
            }
        }
    }
}
