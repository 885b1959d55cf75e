package org.endivehold.config;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;
import org.endivehold.config.ConfigurationArchive.StoredHead;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Names;
import org.endivehold.misc.Revision;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.SwapResult;

/**
 * Publishes configurations to the key-value service with optimistic concurrency control: at most one publish succeeds
 * on each parent revision, and none is applied twice.
 *
 * <p>A publish writes, in this order: (1) a pending record, so that a later publish can delete what a failed one left
 * behind; (2) the chunks, under keys that contain the publish id and the parent revision and are never overwritten; (3)
 * the history record of the revision that is being replaced; (4) the head, by a compare-and-swap against the store
 * revision at which the head was read.
 *
 * <p>Safety: Revision numbers never decrease, since only step 4 changes the head and each head is one above the one
 * that it replaces. The chunks of a head always exist, since they are written before it and deleted only after its
 * revision is beyond the retention limit.
 *
 * <p>If the response to step 4 is lost, the same swap is sent again and its outcome is derived from the stored records:
 *
 * <ul>
 *   <li>The head has the publish id: the publish took effect.
 *   <li>The head changed and the history has the publish id: the publish took effect and was replaced since, because
 *       every successor performs step 3 first.
 *   <li>The head changed and the id is in neither: the publish has not taken effect and never will, because the store
 *       revision that its swap expects cannot come back.
 * </ul>
 *
 * <p>The outcome remains unknown only if the service answers none of the attempts; a retry with the same publish id
 * resolves it later.
 *
 * <p>Example: two operators edit revision 7. Both write chunks; one swap succeeds and creates revision 8. The other
 * publish finds the head changed and its own id in neither place, and fails with {@code CONFIG_CONFLICT} and the
 * objects that differ between 7 and 8.
 */
public final class Publisher {
    /** Maximum number of attempts for one write whose response is lost. */
    static final int MAX_ATTEMPTS = 4;

    private static final int MAX_CHANGES_IN_MESSAGE = 20;

    private final PlatformStore store;
    private final ConfigurationArchive archive;
    private final PublishCleaner cleaner;

    /**
     * Creates a publisher.
     *
     * @param store the key-value service
     * @param keepRevisions number of earlier revisions to retain, positive
     */
    public Publisher(PlatformStore store, int keepRevisions) {
        this.store = store;
        this.archive = new ConfigurationArchive(store);
        this.cleaner = new PublishCleaner(store, keepRevisions);
    }

    /**
     * Publishes a configuration.
     *
     * @param request what to publish, already checked
     * @return the new head; fails with {@code CONFIG_CONFLICT} if the parent is not the current revision,
     *     {@code PUBLISH_ID_REUSED} if the id belongs to another configuration, {@code CONFIG_UNKNOWN_OUTCOME} if the
     *     service answers no attempt to swap the head, {@code OPERATOR_REQUEST} or {@code CONFIG_INVALID} if the id or
     *     the size is not valid, or with the store's failure if nothing was published
     */
    public CompletionStage<PublishResult> publish(PublishRequest request) {
        if (!Names.isValid(request.publishId())) {
            return fail(ErrorType.OPERATOR_REQUEST, "the publish id is not a valid name");
        }
        List<byte[]> chunks = ConfigurationPacker.pack(request.configuration());
        if (chunks.size() > RevisionRecord.MAX_CHUNKS) {
            return fail(ErrorType.CONFIG_INVALID, "the configuration is too large");
        }
        String digest = ConfigurationWriter.digest(request.configuration());
        return archive.head()
                .thenCompose(stored -> findPublish(request.publishId(), stored).thenCompose(found -> {
                    if (found.isPresent()) {
                        return repeated(found.get(), digest);
                    }
                    Revision current = stored.map(s -> s.head().revision()).orElse(Revision.ZERO);
                    if (!current.equals(request.parent())) {
                        return failWithConflict(request.parent(), current);
                    }
                    return write(new Attempt(request, digest, chunks, stored));
                }));
    }

    private record Attempt(PublishRequest request, String digest, List<byte[]> chunks, Optional<StoredHead> replaced) {
        long expectedStoreRevision() {
            return replaced.map(StoredHead::storeRevision).orElse(0L);
        }

        RevisionRecord head() {
            return new RevisionRecord(
                    request.parent().next(),
                    digest,
                    request.publishId(),
                    chunks.size(),
                    request.parent(),
                    request.operator(),
                    request.publishedAtMillis());
        }
    }

    private CompletionStage<PublishResult> write(Attempt attempt) {
        String id = attempt.request().publishId();
        Revision parent = attempt.request().parent();
        byte[] pending = new PendingPublish(id, parent, attempt.expectedStoreRevision()).toBytes();
        CompletionStage<Void> chain = writeOnce(ConfigurationKeys.pending(id, parent), pending, 1);
        for (int i = 0; i < attempt.chunks().size(); i++) {
            String key = ConfigurationKeys.chunk(id, parent, i);
            byte[] chunk = attempt.chunks().get(i);
            chain = chain.thenCompose(done -> writeOnce(key, chunk, 1));
        }
        return chain.thenCompose(done -> writeHistoryRecord(attempt.replaced()))
                .thenCompose(done -> swapHead(attempt, 1, false));
    }

    private CompletionStage<Void> writeHistoryRecord(Optional<StoredHead> replaced) {
        if (replaced.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        RevisionRecord head = replaced.get().head();
        return writeOnce(ConfigurationKeys.history(head.revision()), head.toBytes(), 1);
    }

    /** Creates a key whose value never changes. If the response is lost, writes the same value again. */
    private CompletionStage<Void> writeOnce(String key, byte[] value, int attemptNumber) {
        return store.compareAndSwap(key, 0, value, Optional.empty())
                .handle((result, failure) -> {
                    if (failure == null) {
                        boolean written = result.swapped()
                                || result.current()
                                        .filter(e -> Arrays.equals(e.value(), value))
                                        .isPresent();
                        return written
                                ? CompletableFuture.<Void>completedFuture(null)
                                : Publisher.<Void>fail(ErrorType.PUBLISH_ID_REUSED, key);
                    }
                    EndiveholdException e = EndiveholdException.unwrap(failure);
                    if (e.type() != ErrorType.STORE_UNKNOWN) {
                        return CompletableFuture.<Void>failedFuture(e);
                    }
                    return attemptNumber < MAX_ATTEMPTS
                            ? writeOnce(key, value, attemptNumber + 1)
                            : Publisher.<Void>fail(ErrorType.STORE_UNAVAILABLE, "no response to the write of " + key);
                })
                .thenCompose(stage -> stage);
    }

    private CompletionStage<PublishResult> swapHead(Attempt attempt, int attemptNumber, boolean mayHaveTakenEffect) {
        byte[] head = attempt.head().toBytes();
        return store.compareAndSwap(ConfigurationKeys.HEAD, attempt.expectedStoreRevision(), head, Optional.empty())
                .handle((result, failure) -> failure == null
                        ? swapAnswered(attempt, result)
                        : swapFailed(attempt, attemptNumber, mayHaveTakenEffect, EndiveholdException.unwrap(failure)))
                .thenCompose(stage -> stage);
    }

    private CompletionStage<PublishResult> swapAnswered(Attempt attempt, SwapResult result) {
        String id = attempt.request().publishId();
        if (result.swapped()) {
            return published(attempt.head(), false);
        }
        return archive.head().thenCompose(stored -> findPublish(id, stored).thenCompose(found -> {
            if (found.isPresent()) {
                return published(found.get(), false);
            }
            Revision current = stored.map(s -> s.head().revision()).orElse(Revision.ZERO);
            return failWithConflict(attempt.request().parent(), current);
        }));
    }

    private CompletionStage<PublishResult> swapFailed(
            Attempt attempt, int attemptNumber, boolean mayHaveTakenEffect, EndiveholdException failure) {
        boolean outcomeUnknown = mayHaveTakenEffect || failure.type() == ErrorType.STORE_UNKNOWN;
        if (!outcomeUnknown) {
            return CompletableFuture.failedFuture(failure);
        }
        if (attemptNumber < MAX_ATTEMPTS) {
            return swapHead(attempt, attemptNumber + 1, true);
        }
        return CompletableFuture.failedFuture(new EndiveholdException(
                        org.endivehold.error.RunOutcome.UNKNOWN,
                        ErrorType.CONFIG_UNKNOWN_OUTCOME,
                        attempt.request().publishId())
                .causedBy(failure));
    }

    private CompletionStage<PublishResult> published(RevisionRecord revisionRecord, boolean repeated) {
        cleaner.clean();
        return CompletableFuture.completedFuture(new PublishResult(revisionRecord, repeated));
    }

    private CompletionStage<PublishResult> repeated(RevisionRecord revisionRecord, String digest) {
        return revisionRecord.digest().equals(digest)
                ? published(revisionRecord, true)
                : fail(ErrorType.PUBLISH_ID_REUSED, revisionRecord.publishId());
    }

    /**
     * Searches the head and the history for a publish that took effect. The head has to be read before the history: a
     * head that is replaced in between is then found in the history.
     */
    private CompletionStage<Optional<RevisionRecord>> findPublish(String publishId, Optional<StoredHead> stored) {
        if (stored.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return archive.history()
                .thenApply(history -> Stream.concat(Stream.of(stored.get().head()), history.stream())
                        .filter(revisionRecord -> revisionRecord.publishId().equals(publishId))
                        .findFirst());
    }

    private CompletionStage<PublishResult> failWithConflict(Revision parent, Revision current) {
        return describeChanges(parent, current)
                .exceptionally(failure -> "the changes since revision " + parent + " are no longer available")
                .thenCompose(changes -> fail(
                        ErrorType.CONFIG_CONFLICT,
                        "edited revision " + parent + ", current revision is " + current + ": " + changes));
    }

    private CompletionStage<String> describeChanges(Revision from, Revision to) {
        if (from.equals(Revision.ZERO)) {
            return CompletableFuture.completedFuture("a configuration exists already");
        }
        if (from.compareTo(to) > 0) {
            return CompletableFuture.completedFuture("the edited revision does not exist yet");
        }
        return archive.find(from).thenCompose(archive::load).thenCompose(before -> archive.find(to)
                .thenCompose(archive::load)
                .thenApply(after -> describe(ObjectChange.between(before, after))));
    }

    private static String describe(List<ObjectChange> changes) {
        List<String> lines = changes.stream()
                .limit(MAX_CHANGES_IN_MESSAGE)
                .map(ObjectChange::toString)
                .toList();
        String rest = changes.size() > lines.size() ? " and " + (changes.size() - lines.size()) + " more" : "";
        return String.join("; ", lines) + rest;
    }

    private static <T> CompletableFuture<T> fail(ErrorType type, Object... args) {
        return CompletableFuture.failedFuture(new EndiveholdException(type, args));
    }
}
