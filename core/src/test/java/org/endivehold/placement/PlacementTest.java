package org.endivehold.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.config.RequestClass;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;
import org.endivehold.upstream.CacheEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlacementTest {
    private static final UpstreamName E1 = new UpstreamName("e1");
    private static final UpstreamName E2 = new UpstreamName("e2");
    private static final PlacementRequest REQUEST = new PlacementRequest(2_000, 100, RequestClass.INTERACTIVE, false);

    private static Candidate candidate(UpstreamName name, int streams, long ahead, double rate, long cached) {
        return new Candidate(name, new ZoneName("a"), 4, 100_000, streams, ahead, rate, cached, 1, true);
    }

    /**
     * Which of two engines each policy chooses: the first has the given load and rate, the second is idle and slower.
     */
    @ParameterizedTest
    @CsvSource({
        "least-predicted-time, 0, 0, 20000, 0, e1",
        "least-predicted-time, 0, 8000, 20000, 0, e2",
        "least-predicted-time, 1, 0, 20000, 0, e1",
        "least-predicted-time, 3, 0, 20000, 0, e2",
        "least-predicted-time, 3, 0, 20000, 1900, e2",
        "least-predicted-time, 0, 3000, 20000, 1800, e1",
        "least-predicted-time, 1, 0, 10000, 0, e2",
        "least-outstanding, 1, 0, 20000, 0, e2",
        "least-outstanding, 0, 0, 20000, 0, any",
        "round-robin, 9, 9000, 1, 0, e1",
    })
    void policiesChoose(String policy, int streams, long ahead, double rate, long cached, String chosen)
            throws EndiveholdException {
        PlacementPolicy tried = PlacementPolicies.create(policy, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
        List<Candidate> candidates =
                List.of(candidate(E1, streams, ahead, rate, cached), candidate(E2, 0, 0, 10_000, 0));
        String found =
                tried.choose(REQUEST, candidates).orElseThrow().upstream().value();
        assertTrue(chosen.equals("any") || chosen.equals(found), found);
        assertTrue(tried.choose(REQUEST, List.of()).isEmpty());
    }

    @Test
    void anUnknownPolicyIsRefused() {
        assertThrows(EndiveholdException.class, () -> PlacementPolicies.create("best", null));
    }

    @Test
    void ratesAreLearnedWithinBounds() {
        PrefillRateEstimator rates = new PrefillRateEstimator();
        for (int i = 0; i < 100; i++) {
            rates.sample(E1, 10_000, 1_000, 200);
            rates.sample(E2, 10_000, 1_000, 10_000);
        }
        assertEquals(5_000, rates.rate(E1, 10_000), 10);
        assertEquals(2_500, rates.rate(E2, 10_000), 10);
    }

    @Test
    void repeatedFailuresEjectForGrowingTimes() {
        OutlierEjection ejection = new OutlierEjection();
        ejection.retain(Set.of(E1, E2));
        assertFalse(ejection.failed(E1, 0));
        assertFalse(ejection.failed(E1, 0));
        assertTrue(ejection.failed(E1, 0));
        assertFalse(ejection.allows(E1, OutlierEjection.BASE_MILLIS - 1));
        assertTrue(ejection.allows(E1, OutlierEjection.BASE_MILLIS));
        ejection.sent(E1);
        assertFalse(ejection.allows(E1, OutlierEjection.BASE_MILLIS));
        assertTrue(ejection.failed(E1, OutlierEjection.BASE_MILLIS));
        assertFalse(ejection.allows(E1, 3 * OutlierEjection.BASE_MILLIS - 1));
        ejection.succeeded(E1);
        assertTrue(ejection.allows(E1, OutlierEjection.BASE_MILLIS));
    }

    @Test
    void atMostHalfOfTheUpstreamsAreEjected() {
        OutlierEjection ejection = new OutlierEjection();
        ejection.retain(Set.of(E1, E2));
        for (int i = 0; i < 5; i++) {
            ejection.failed(E1, 0);
            ejection.failed(E2, 0);
        }
        assertFalse(ejection.allows(E1, 0));
        assertTrue(ejection.allows(E2, 0));
    }

    @Test
    void upstreamsForLongPromptsFollowTheirShareOfTokens() {
        List<UpstreamName> upstreams = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            upstreams.add(new UpstreamName("e" + i));
        }
        LongPromptUpstreams longPromptUpstreams = new LongPromptUpstreams();
        longPromptUpstreams.arrived(1_000, false, 0);
        Set<UpstreamName> few = longPromptUpstreams.select(upstreams);
        assertEquals(3, few.size());
        longPromptUpstreams.arrived(1_000, true, 0);
        Set<UpstreamName> more = longPromptUpstreams.select(upstreams);
        assertEquals(11, more.size());
        assertTrue(more.containsAll(few));
        longPromptUpstreams.arrived(1_000_000, true, 0);
        assertEquals(12, longPromptUpstreams.select(upstreams).size());
        assertEquals(Set.of(E1), longPromptUpstreams.select(List.of(E1)));
    }

    @Test
    void prefixesArePredictedWhereTheyWereSent() {
        PrefixIndex index = new PrefixIndex(100);
        index.sent(E1, new long[] {1, 2, 3});
        index.sent(E2, new long[] {1});
        assertEquals(Map.of(E1, 512L, E2, 256L), index.expected(new long[] {1, 2, 9}));
        assertEquals(Map.of(), index.expected(new long[] {9, 2, 3}));
        index.events(E1, List.of(new CacheEvent(1, 2, 512, false)));
        assertEquals(Map.of(E1, 256L, E2, 256L), index.expected(new long[] {1, 2, 3}));
        index.restarted(E2);
        assertEquals(Map.of(E1, 256L), index.expected(new long[] {1, 2, 3}));
    }

    @Test
    void gapsAndMissesLowerThePrediction() {
        PrefixIndex index = new PrefixIndex(100);
        index.events(E1, List.of(new CacheEvent(1, 7, 256, true), new CacheEvent(3, 8, 256, true)));
        assertEquals(Map.of(E1, 128L), index.expected(new long[] {7}));
        index.events(E1, List.of(new CacheEvent(3, 7, 256, false)));
        assertEquals(Map.of(E1, 128L), index.expected(new long[] {7}));
        index.observed(E1, 128, 0);
        assertEquals(Map.of(E1, 115L), index.expected(new long[] {7}));
    }

    @Test
    void theIndexDropsTheLeastRecentlyUsedBlocks() {
        PrefixIndex index = new PrefixIndex(2);
        index.sent(E1, new long[] {1, 2, 3});
        assertEquals(Map.of(), index.expected(new long[] {1}));
        assertEquals(Map.of(E1, 256L), index.expected(new long[] {3}));
    }

    @ParameterizedTest
    @CsvSource({
        "abcdefghij, '2,2', 'abcdefgh|ij'",
        "abcdefgh, '1,1', 'abcd|efgh'",
        "abcdefghij, '1,1', 'abcd|efgh|ij'",
        "abc, '5,5', 'abc'",
        "aaaäbbbb, '1,9', 'aaaäbbbb'",
        "aaaaaaaä, '2,9', 'aaaa|aaaä'",
    })
    void promptsAreCutAtTokensAndCharacters(String prompt, String memory, String parts) {
        long[] tokens =
                Arrays.stream(memory.split(",")).mapToLong(Long::parseLong).toArray();
        List<String> cut = PromptParts.split(prompt.getBytes(StandardCharsets.UTF_8), tokens);
        assertEquals(List.of(parts.split("\\|")), cut);
        assertEquals(prompt, String.join("", cut));
    }

    @Test
    void bandsCoverAllLengths() {
        Set<LengthBand> bands = new HashSet<>();
        for (long tokens : new long[] {0, 1_000, 4_000, 16_000, 100_000}) {
            bands.add(LengthBand.of(tokens));
        }
        assertEquals(Set.of(LengthBand.values()), bands);
        assertEquals(LengthBand.FROM_1K, LengthBand.of(3_999));
    }
}
