package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivehold.daemon.entry.UpstreamLink.Cut;
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
