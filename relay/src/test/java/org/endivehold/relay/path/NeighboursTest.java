package org.endivehold.relay.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Which daemon gets the requests that another one cannot deliver. A wrong choice sends them to a daemon that is cut off
 * itself, or all of them to one.
 */
class NeighboursTest {
    private static final DaemonEntry SELF = daemon("self", "z1");

    private final List<PeerMessage> spread = new ArrayList<>();
    private final List<PeerMessage> passedOn = new ArrayList<>();
    private final List<DaemonEntry> others = new ArrayList<>();
    private long now;
    private final Neighbours neighbours =
            new Neighbours(() -> now, RandomSource.SPLIT_MIX_64.create(1), new PathPeers() {
                @Override
                public DaemonEntry self() {
                    return SELF;
                }

                @Override
                public Collection<DaemonEntry> others() {
                    return others;
                }

                @Override
                public void spread(PeerMessage message) {
                    spread.add(message);
                }

                @Override
                public void passOn(PeerMessage message) {
                    passedOn.add(message);
                }
            });

    private static DaemonEntry daemon(String name, String zone) {
        return new DaemonEntry(name, "127.0.0.1", 1, zone, 1);
    }

    private Optional<String> choose(String... asked) {
        return neighbours.choose("s", Set.of(asked)).map(DaemonEntry::name);
    }

    @Test
    void theSameZoneComesFirstUntilItHasMoreToDo() {
        others.add(daemon("far", "z2"));
        others.add(daemon("near", "z1"));
        for (int i = 0; i < 3; i++) {
            assertEquals(Optional.of("near"), choose());
        }
        for (int i = 0; i < 5; i++) {
            neighbours.begun("near");
        }
        assertEquals(Optional.of("far"), choose());
        for (int i = 0; i < 5; i++) {
            neighbours.ended("near");
        }
        assertEquals(Optional.of("near"), choose());
    }

    @Test
    void daemonsThatDoNotReachTheServiceAreNotChosen() {
        others.add(daemon("cut", "z1"));
        others.add(daemon("fit", "z2"));
        neighbours.handle(new PeerMessage.PathsReported("cut", 1, List.of("s")));
        assertEquals(Optional.of("fit"), choose());
        assertEquals(Optional.empty(), choose("fit"));
        neighbours.handle(new PeerMessage.PathsReported("cut", 3, List.of("other")));
        assertEquals(Optional.of("cut"), choose());
        neighbours.handle(new PeerMessage.PathsReported("cut", 2, List.of("s")));
        assertEquals(Optional.of("cut"), choose(), "an older report came later");
    }

    @Test
    void newsIsPassedOnOnce() {
        PeerMessage.PathsReported report = new PeerMessage.PathsReported("cut", 1, List.of("s"));
        neighbours.handle(report);
        neighbours.handle(report);
        neighbours.handle(new PeerMessage.PathsReported("self", 9, List.of("s")));
        assertEquals(List.of(report), passedOn);
    }

    /** A daemon that is cut off and then dies must not be avoided for good once another start has its name's place. */
    @Test
    void aReportThatIsNotRepeatedExpires() {
        others.add(daemon("cut", "z1"));
        neighbours.handle(new PeerMessage.PathsReported("cut", 1, List.of("s")));
        now = 9_000;
        assertEquals(Optional.empty(), choose());
        now = 10_000;
        neighbours.runMaintenance();
        assertEquals(Optional.of("cut"), choose());
    }

    @Test
    void lostServicesAreReportedAgainWhileTheyAreLost() {
        neighbours.report(Set.of("s"));
        now = 2_900;
        neighbours.runMaintenance();
        assertEquals(1, spread.size());
        now = 3_000;
        neighbours.runMaintenance();
        assertEquals(2, spread.size());
        assertEquals(1, neighbours.knowledge().size());
        neighbours.report(Set.of());
        now = 20_000;
        neighbours.runMaintenance();
        assertEquals(3, spread.size());
        assertTrue(neighbours.knowledge().isEmpty());
    }

    /** All daemons of a zone send by way of others: none of those may get much more than its part. */
    @ParameterizedTest
    @ValueSource(ints = {4, 75})
    void requestsAreSpreadOverAllThatReachTheService(int fit) {
        for (int i = 0; i < fit; i++) {
            others.add(daemon("fit" + i, "z" + (2 + i % 3)));
        }
        Map<String, Integer> chosen = new HashMap<>();
        for (int i = 0; i < 20 * fit; i++) {
            String name = choose().orElseThrow();
            neighbours.begun(name);
            chosen.merge(name, 1, Integer::sum);
        }
        assertEquals(fit, chosen.size());
        assertTrue(chosen.values().stream().allMatch(count -> count <= 22), chosen::toString);
    }
}
