package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivehold.daemon.entry.UpstreamLink.Cut;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Daemons that lose their links to all upstreams, while callers and the other daemons still reach them. From some
 * seconds after that, their callers' first attempts have to be served as well as those of the other daemons.
 */
class CutOffDaemonsTest {
    /** Time after the loss of the links from which requests count, in milliseconds. */
    private static final int STABLE_MILLIS = 3_000;
    /** Least share of the requests that cut-off daemons serve, relative to the share at the others. */
    private static final double LEAST_RELATIVE_SHARE = 0.95;
    /** Pause between two rounds of requests, in milliseconds. */
    private static final int ROUND_MILLIS = 60;

    private static final int LIMIT_SECONDS = 60;

    /** The requests that were sent to one group of daemons and those that were served. */
    private static final class Served {
        private int sent;
        private int served;

        void add(TestFleet.Answer answer) {
            sent++;
            served += answer.status() == 200 && answer.complete() ? 1 : 0;
        }

        double share() {
            return (double) served / sent;
        }
    }

    /** Callers of daemons that lost their links were refused after some timeouts; no daemon sent by way of another. */
    @ParameterizedTest(name = "{1} of {0} daemons, {2}")
    @CsvSource({"3, 2, SILENT", "3, 1, RESET", "4, 3, NEW_REFUSED"})
    void callersOfCutOffDaemonsAreServedLikeThoseOfOthers(int size, int cutOff, Cut cut) throws Exception {
        try (TestFleet fleet = new TestFleet(size)) {
            rounds(fleet, size, 1_000, "before");
            for (int daemon = 0; daemon < cutOff; daemon++) {
                fleet.cut(daemon, cut);
            }
            rounds(fleet, size, STABLE_MILLIS, "at-once");
            List<Served> served = rounds(fleet, size, STABLE_MILLIS, "later");
            double uncut = served.get(size - 1).share();
            assertTrue(uncut >= LEAST_RELATIVE_SHARE, () -> "served without a cut: " + uncut);
            for (int daemon = 0; daemon < cutOff; daemon++) {
                double share = served.get(daemon).share();
                assertTrue(share >= LEAST_RELATIVE_SHARE * uncut, () -> share + " served, " + uncut + " without a cut");
            }
        }
    }

    /**
     * The daemon that serves a forwarded request is killed: its callers' streams broke off, work that may have run was
     * run again, or a broken answer looked complete.
     */
    @Test
    void aNeighbourThatIsKilledCostsNoStreamAndRunsNothingTwice() throws Exception {
        try (TestFleet fleet = new TestFleet(3)) {
            rounds(fleet, 3, 1_000, "before");
            fleet.cut(0, Cut.SILENT);
            rounds(fleet, 1, STABLE_MILLIS, "at-once");
            List<Future<TestFleet.Answer>> streams = new ArrayList<>();
            List<Future<TestFleet.Answer>> unsafe = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                streams.add(fleet.send(0, TestFleet.Kind.STREAM, "stream-" + i));
            }
            await(fleet.vertx().timer(TestUpstream.EVENTS * 5L, TimeUnit.MILLISECONDS));
            for (int i = 0; i < 8; i++) {
                unsafe.add(fleet.send(0, TestFleet.Kind.UNSAFE, "unsafe-" + i));
            }
            fleet.kill(1);
            for (Future<TestFleet.Answer> stream : streams) {
                TestFleet.Answer answer = await(stream);
                assertTrue(answer.status() == 200 && answer.complete(), answer::toString);
                assertEquals(allEvents(), answer.body());
            }
            for (int i = 0; i < unsafe.size(); i++) {
                TestFleet.Answer answer = await(unsafe.get(i));
                int runs = fleet.runs("unsafe-" + i);
                assertTrue(answer.status() == 200 ? runs == 1 : runs <= 1, () -> runs + " runs, " + answer);
                assertTrue(answer.status() != 503 || runs == 0, () -> runs + " runs, " + answer);
            }
        }
    }

    private static String allEvents() {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= TestUpstream.EVENTS; i++) {
            events.append("id: ").append(i).append("\ndata: x\n\n");
        }
        return events.toString();
    }

    /** A daemon went on to send by way of others after its links were back. */
    @Test
    void requestsAreSentFromHereAgainSomeTimeAfterTheLinksAreBack() throws Exception {
        try (TestFleet fleet = new TestFleet(2)) {
            rounds(fleet, 2, 1_000, "before");
            fleet.cut(0, Cut.SILENT);
            rounds(fleet, 2, STABLE_MILLIS, "cut");
            double whileCut = forwarded(fleet);
            assertTrue(whileCut > 0, () -> whileCut + " requests forwarded");
            fleet.restore(0);
            rounds(fleet, 2, STABLE_MILLIS, "restored");
            double before = forwarded(fleet);
            Served served = rounds(fleet, 2, 1_000, "later").get(0);
            assertEquals(before, forwarded(fleet));
            assertEquals(1, served.share());
        }
    }

    private static double forwarded(TestFleet fleet) throws Exception {
        double sum = 0;
        for (String line : fleet.metrics(0).split("\n", -1)) {
            if (line.startsWith("endivehold_forwarded_total")) {
                sum += Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
            }
        }
        return sum;
    }

    /** If no daemon reaches the upstreams, callers waited for one timeout after the other before they were refused. */
    @Test
    void requestsAreRefusedAtOnceIfNoDaemonReachesTheUpstreams() throws Exception {
        try (TestFleet fleet = new TestFleet(3)) {
            rounds(fleet, 3, 1_000, "before");
            for (int daemon = 0; daemon < 3; daemon++) {
                fleet.cut(daemon, Cut.SILENT);
            }
            rounds(fleet, 3, STABLE_MILLIS, "at-once");
            for (TestFleet.Kind kind : TestFleet.Kind.values()) {
                TestFleet.Answer answer = await(fleet.send(0, kind, "refused-" + kind));
                assertEquals(503, answer.status());
                assertTrue(answer.millis() < 300, answer::toString);
            }
        }
    }

    /** Sends one request of each kind to each daemon in each round, and returns what each daemon served. */
    private static List<Served> rounds(TestFleet fleet, int size, int millis, String name) throws Exception {
        List<Served> all = new ArrayList<>();
        for (int daemon = 0; daemon < size; daemon++) {
            all.add(new Served());
        }
        Future<Void> round = Future.succeededFuture();
        List<Future<TestFleet.Answer>> answers = new ArrayList<>();
        List<String> unsafe = new ArrayList<>();
        for (int i = 0; i < millis / ROUND_MILLIS; i++) {
            int number = i;
            round = round.compose(done -> fleet.vertx().timer(ROUND_MILLIS, TimeUnit.MILLISECONDS))
                    .map(waited -> {
                        for (int daemon = 0; daemon < size; daemon++) {
                            for (TestFleet.Kind kind : TestFleet.Kind.values()) {
                                String attempt = name + "-" + number + "-" + daemon + "-" + kind;
                                if (kind == TestFleet.Kind.UNSAFE) {
                                    unsafe.add(attempt);
                                }
                                answers.add(fleet.send(daemon, kind, attempt).onSuccess(all.get(daemon)::add));
                            }
                        }
                        return null;
                    });
        }
        await(round);
        for (Future<TestFleet.Answer> answer : answers) {
            await(answer);
        }
        for (String attempt : unsafe) {
            assertTrue(fleet.runs(attempt) <= 1, () -> attempt + " ran " + fleet.runs(attempt) + " times");
        }
        return all;
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
