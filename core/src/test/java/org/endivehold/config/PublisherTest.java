package org.endivehold.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Revision;
import org.endivehold.platform.FakeStore;
import org.endivehold.platform.FakeStore.WriteFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class PublisherTest {
    private static final int KEEP_REVISIONS = 3;

    private final FakeStore store = new FakeStore();
    private final Publisher publisher = new Publisher(store, KEEP_REVISIONS);
    private final ConfigurationArchive archive = new ConfigurationArchive(store);

    private static PublishRequest request(long parent, String id, String north) {
        return new PublishRequest(ConfigurationSamples.zones(north), new Revision(parent), id, "ana", 1L);
    }

    private long publish(long parent, String id, String north) {
        return join(publisher.publish(request(parent, id, north)))
                .head()
                .revision()
                .value();
    }

    private EndiveholdException failure(long parent, String id, String north) {
        try {
            publish(parent, id, north);
        } catch (CompletionException e) {
            return EndiveholdException.unwrap(e);
        }
        throw new AssertionError("the publish was accepted");
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private Configuration head() {
        return join(archive.load(join(archive.head()).orElseThrow().head()));
    }

    @Test
    void publishesOnTheParentRevision() {
        assertEquals(1, publish(0, "a", "in"));
        assertEquals(2, publish(1, "b", "out"));
        assertEquals(ConfigurationSamples.zones("out"), head());
        assertEquals(
                ConfigurationSamples.zones("in"),
                join(archive.find(new Revision(1)).thenCompose(archive::load)));
    }

    @Test
    void conflictListsChangedObjects() {
        publish(0, "a", "in");
        publish(1, "b", "out");
        EndiveholdException conflict = failure(1, "c", "in");
        assertEquals(ErrorType.CONFIG_CONFLICT, conflict.type());
        assertTrue(conflict.getMessage().contains("AvailabilityZone/north state"), conflict::getMessage);
    }

    @Test
    void concurrentPublishesHaveOneWinnerAndTheLoserIsCleanedUp() {
        publish(0, "a", "in");
        store.before(ConfigurationKeys.HEAD, () -> publish(1, "fast", "out"));
        assertEquals(ErrorType.CONFIG_CONFLICT, failure(1, "slow", "in").type());
        assertEquals(ConfigurationSamples.zones("out"), head());
        publish(2, "next", "in");
        assertEquals(List.of(), store.keys(ConfigurationKeys.chunks("slow", new Revision(1))));
        assertEquals(List.of(), store.keys(ConfigurationKeys.pending("slow", new Revision(1))));
    }

    @ParameterizedTest
    @EnumSource(
            value = WriteFault.class,
            names = {"APPLIED_UNANSWERED", "NOT_APPLIED_UNANSWERED", "APPLIED_LATE_UNANSWERED"})
    void lostResponseToTheSwapIsResolved(WriteFault fault) {
        publish(0, "a", "in");
        store.plan(ConfigurationKeys.HEAD, fault);
        assertEquals(2, publish(1, "b", "out"));
        assertEquals(ConfigurationSamples.zones("out"), head());
        assertEquals(2, publish(1, "b", "out"), "a repeated publish reports the revision it made");
    }

    @ParameterizedTest
    @CsvSource({"APPLIED_UNANSWERED, true", "NOT_APPLIED_UNANSWERED, false"})
    void lostResponseIsResolvedAfterAnotherPublish(WriteFault fault, boolean tookEffect) {
        publish(0, "a", "in");
        store.plan(ConfigurationKeys.HEAD, fault);
        store.afterFault(() -> publish(tookEffect ? 2 : 1, "other", "in"));
        if (tookEffect) {
            assertEquals(2, publish(1, "b", "out"));
        } else {
            assertEquals(ErrorType.CONFIG_CONFLICT, failure(1, "b", "out").type());
        }
        assertEquals(ConfigurationSamples.zones("in"), head());
    }

    @Test
    void outcomeIsUnknownWithoutAnyResponseAndARetryResolvesIt() {
        publish(0, "a", "in");
        WriteFault lost = WriteFault.NOT_APPLIED_UNANSWERED;
        store.plan(ConfigurationKeys.HEAD, lost, lost, lost, WriteFault.APPLIED_LATE_UNANSWERED);
        assertEquals(ErrorType.CONFIG_UNKNOWN_OUTCOME, failure(1, "b", "out").type());
        store.applyLateWrites();
        assertEquals(2, publish(1, "b", "out"));
    }

    @Test
    void unavailableStorePublishesNothing() {
        publish(0, "a", "in");
        store.plan(ConfigurationKeys.HEAD, WriteFault.UNAVAILABLE);
        assertEquals(ErrorType.STORE_UNAVAILABLE, failure(1, "b", "out").type());
        assertEquals(ConfigurationSamples.zones("in"), head());
    }

    @Test
    void publishIdCannotBeReusedForAnotherConfiguration() {
        publish(0, "a", "in");
        assertEquals(1, publish(0, "a", "in"));
        assertEquals(ErrorType.PUBLISH_ID_REUSED, failure(0, "a", "out").type());
        assertEquals(1, join(archive.head()).orElseThrow().head().revision().value());
    }

    @Test
    void oldRevisionsAreDeletedWithTheirChunks() {
        for (int i = 0; i < 8; i++) {
            publish(i, "p" + i, i % 2 == 0 ? "in" : "out");
        }
        assertEquals(KEEP_REVISIONS, join(archive.history()).size());
        assertEquals(KEEP_REVISIONS + 1, store.keys("config/chunk/").size());
        assertEquals(List.of(), store.keys(ConfigurationKeys.PENDING));
        assertEquals(ErrorType.REVISION_UNKNOWN, typeOf(archive.find(new Revision(2))));
    }

    @Test
    void replacedChunkFailsTheDigestCheck() {
        publish(0, "a", "in");
        String key = ConfigurationKeys.chunk("a", Revision.ZERO, 0);
        long revision = join(store.get(key)).orElseThrow().revision();
        byte[] other =
                ConfigurationPacker.pack(ConfigurationSamples.zones("out")).get(0);
        join(store.compareAndSwap(key, revision, other, java.util.Optional.empty()));
        RevisionRecord head = join(archive.head()).orElseThrow().head();
        assertEquals(ErrorType.CONFIG_DIGEST, typeOf(archive.load(head)));
    }

    private static ErrorType typeOf(CompletionStage<?> stage) {
        try {
            stage.toCompletableFuture().join();
        } catch (CompletionException e) {
            return EndiveholdException.unwrap(e).type();
        }
        throw new AssertionError("no failure");
    }
}
