package org.endivehold.relay.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.endivehold.relay.path.UpstreamPaths.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What a daemon concludes from connections that it could open or not. If one failed upstream counted as lost paths,
 * requests would make a detour for nothing; if lost paths counted as failed upstreams, each request would find out
 * anew.
 */
class UpstreamPathsTest {
    private static final List<String> ALL = List.of("a", "b", "c", "d");

    /** Runs a script of attempts, 10 ms apart: {@code +a} reached a, {@code -a} did not. */
    private static UpstreamPaths after(String script) {
        UpstreamPaths paths = new UpstreamPaths();
        double now = 0;
        for (String attempt : script.trim().split("\\s+", -1)) {
            now += 10;
            String upstream = attempt.substring(1);
            if (attempt.startsWith("+")) {
                paths.recordReached(upstream, ALL.size(), now);
            } else {
                paths.recordUnreached(upstream, ALL.size(), now);
            }
        }
        return paths;
    }

    @ParameterizedTest(name = "{0}: {1}, local share {2}")
    @CsvSource({
        "+a,             OPEN,      1",
        "-a,             DOUBTED,   0",
        "-a -a -a,       DOUBTED,   0",
        "-a +b,          OPEN,      1",
        "-a -b +c,       OPEN,      1",
        "-a -b -c,       LOST,      0",
        "-a -b -c -d,    LOST,      0",
        "-a +b -b +c -c +d, OPEN,   0",
        "-a -b -c +d,    LOST,      0",
        "-a -b -c +d -a +d, LOST,   0",
        "-a -b -c +d +a, RETURNING, 0",
        "-a -b -c +d +a -b, RETURNING, 0",
        "-a -b -c +d +a -b -c, LOST, 0",
    })
    void pathsAreLostOnlyIfNoOtherUpstreamIsReachedMeanwhile(String script, State state, double localShare) {
        UpstreamPaths paths = after(script);
        assertEquals(state, paths.state(200));
        assertEquals(localShare, paths.localShare(ALL, 200));
    }

    @ParameterizedTest(name = "{0}: cut off from a and b {1}")
    @CsvSource({"-a +c, false", "-a -b +c, true", "-a -b +c +a, false", "-a -c -d, true"})
    void aServiceIsCutOffIfEachOfItsUpstreamsIsOrAllPathsAre(String script, boolean cutOff) {
        assertEquals(cutOff, after(script).isCutOff(List.of("a", "b"), 200));
    }

    @Test
    void requestsReturnByDegreesAfterTheHold() {
        UpstreamPaths paths = after("-a -b -c +d +b");
        assertEquals(0, paths.localShare(ALL, 50 + 400));
        assertEquals(0.5, paths.localShare(ALL, 50 + 900), 1e-9);
        paths.recordReached("a", 4, 1_000);
        paths.recordReached("b", 4, 1_000);
        assertEquals(1, paths.localShare(ALL, 50 + 1_400));
        assertEquals(State.OPEN, paths.state(50 + 1_400));
    }

    /** If each return began at once, a path that comes and goes would move all requests each time. */
    @Test
    void pathsThatFlapAreHeldBackLongerEachTime() {
        UpstreamPaths paths = new UpstreamPaths();
        double now = 0;
        double lastHeld = 0;
        for (int flap = 0; flap < 4; flap++) {
            for (String upstream : List.of("a", "b", "c")) {
                paths.recordUnreached(upstream, ALL.size(), now);
            }
            now += 100;
            paths.recordReached("d", 4, now);
            for (String upstream : List.of("a", "b", "c")) {
                paths.recordReached(upstream, ALL.size(), now);
            }
            double held = 0;
            while (paths.localShare(ALL, now + held) == 0) {
                held += 50;
            }
            assertTrue(held > lastHeld, held + " ms after " + lastHeld);
            lastHeld = held;
            now += 2_000 + held;
        }
        assertTrue(lastHeld <= 3_300, lastHeld + " ms");
    }

    /** With many upstreams, it took long until each had been probed again, and requests made the detour meanwhile. */
    @Test
    void whatWasLostWithAllPathsReturnsWithThem() {
        UpstreamPaths paths = after("-a -b -c -d +d +a");
        assertFalse(paths.isLost("b"));
        assertEquals(1, paths.localShare(ALL, 10_000));
    }

    /** With one of many upstreams in reach, a daemon would go to and fro between sending there and by way of others. */
    @Test
    void aServiceOfWhichMostUpstreamsAreLostIsNotReachedAgainByASingleOne() {
        UpstreamPaths paths = after("-a -b -c +d +e -a +d -b +e -c +d");
        assertEquals(State.OPEN, paths.state(10_000));
        assertEquals(0, paths.localShare(ALL, 10_000));
    }

    @Test
    void anUpstreamThatStartedAgainHasAPathOfItsOwn() {
        UpstreamPaths paths = after("-a@1 +b");
        assertTrue(paths.isLost("a@1"));
        assertFalse(paths.isLost("a@2"));
        paths.retain(List.of("a@2", "b"));
        assertFalse(paths.isLost("a@1"));
    }
}
