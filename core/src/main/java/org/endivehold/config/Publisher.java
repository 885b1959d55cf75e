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
 * Publishes configurations: at most one publish succeeds on each revision, and none takes effect twice.
 *
 * <p>Steps: (1) a pending record, so that a later publish can remove what a failed one leaves; (2) the chunks, under
 * keys that hold the publish id and the parent and are never written again; (3) the history record of the revision that
 * the new one replaces; (4) a compare-and-swap of the head against the service's revision of the head that was read.
 *
 * <p>Why it is safe. Revisions never revert, since only step 4 changes the head and each head is one above the one that
 * it replaces. A head always has its chunks, since they are written before and deleted only after it has left the
 * history. If the answer to step 4 is lost, the same swap is sent again, and its outcome is read from the head that
 * stands: the publish id is there, so it took effect; or the head moved on and the id is found in the history, because
 * every successor performs step 3 first, so it took effect as well; or the head moved on and the id is in neither, so
 * it has not and never will, because the service's revision that the swap expects is gone for good. Only when the
 * service stays silent through all attempts does the outcome remain unknown; a retry with the same publish id settles
 * it later.
 *
 * <p>Example: two operators edit revision 7. Both write chunks; one swap succeeds, head 8. The other finds the head
 * changed and its own id in neither place: {@code CONFIG_CONFLICT}, with the objects that differ between 7 and 8.
 */
public final class Publisher {
    /** Attempts for one write whose answer is lost. */
    static final int MAX_ATTEMPTS = 4;

    private static final int MAX_CHANGES_IN_MESSAGE = 20;

    private final PlatformStore store;
    private final ConfigurationArchive archive;
    private final PublishCleaner cleaner;

    /**
     * Creates a publisher.
     *
     * @param store the key-value service
     * @param keepRevisions earlier revisions to keep, positive
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
     * @return the new head; fails with {@code CONFIG_CONFLICT}, {@code PUBLISH_ID_REUSED},
     *     {@code CONFIG_UNKNOWN_OUTCOME}, or with the store's failure when nothing was published
     */
    public CompletionStage<PublishResult> publish(PublishRequest request) {
        if (!Names.isValid(request.publishId())) {
            return fail(ErrorType.OPERATOR_REQUEST, "the publish id is not a name");
        }
        List<byte[]> chunks = ConfigurationPacker.pack(request.configuration());
        if (chunks.size() > ConfigurationHead.MAX_CHUNKS) {
            return fail(ErrorType.CONFIG_INVALID, "the configuration is too large");
        }
        String digest = ConfigurationWriter.digest(request.configuration());
        return archive.head()
                .thenCompose(stored -> find(request.publishId(), stored).thenCompose(found -> {
                    if (found.isPresent()) {
                        return repeated(found.get(), digest);
                    }
                    Revision current = stored.map(s -> s.head().revision()).orElse(Revision.ZERO);
                    if (!current.equals(request.parent())) {
                        return conflict(request.parent(), current);
                    }
                    return write(new Attempt(request, digest, chunks, stored));
                }));
    }

    private record Attempt(PublishRequest request, String digest, List<byte[]> chunks, Optional<StoredHead> replaced) {
        long expected() {
            return replaced.map(StoredHead::storeRevision).orElse(0L);
        }

        ConfigurationHead head() {
            return new ConfigurationHead(
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
        byte[] pending = new PendingPublish(id, parent, attempt.expected()).toBytes();
        CompletionStage<Void> chain = writeOnce(ConfigurationKeys.pending(id, parent), pending, 1);
        for (int i = 0; i < attempt.chunks().size(); i++) {
            String key = ConfigurationKeys.chunk(id, parent, i);
            byte[] chunk = attempt.chunks().get(i);
            chain = chain.thenCompose(done -> writeOnce(key, chunk, 1));
        }
        return chain.thenCompose(done -> keepHistory(attempt.replaced()))
                .thenCompose(done -> swapHead(attempt, 1, false));
    }

    private CompletionStage<Void> keepHistory(Optional<StoredHead> replaced) {
        if (replaced.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        ConfigurationHead head = replaced.get().head();
        return writeOnce(ConfigurationKeys.history(head.revision()), head.toBytes(), 1);
    }

    /** Creates a key whose value never changes; a lost answer is settled by writing the same value again. */
    private CompletionStage<Void> writeOnce(String key, byte[] value, int attempt) {
        return store.compareAndSwap(key, 0, value, Optional.empty())
                .handle((result, failure) -> {
                    if (failure == null) {
                        boolean stands = result.swapped()
                                || result.current()
                                        .filter(e -> Arrays.equals(e.value(), value))
                                        .isPresent();
                        return stands
                                ? CompletableFuture.<Void>completedFuture(null)
                                : Publisher.<Void>fail(ErrorType.PUBLISH_ID_REUSED, key);
                    }
                    EndiveholdException e = EndiveholdException.unwrap(failure);
                    if (e.type() != ErrorType.STORE_UNKNOWN) {
                        return CompletableFuture.<Void>failedFuture(e);
                    }
                    return attempt < MAX_ATTEMPTS
                            ? writeOnce(key, value, attempt + 1)
                            : Publisher.<Void>fail(ErrorType.STORE_UNAVAILABLE, "no answer to the write of " + key);
                })
                .thenCompose(stage -> stage);
    }

    private CompletionStage<PublishResult> swapHead(Attempt attempt, int number, boolean mayHaveLanded) {
        byte[] head = attempt.head().toBytes();
        return store.compareAndSwap(ConfigurationKeys.HEAD, attempt.expected(), head, Optional.empty())
                .handle((result, failure) -> failure == null
                        ? swapAnswered(attempt, result)
                        : swapFailed(attempt, number, mayHaveLanded, EndiveholdException.unwrap(failure)))
                .thenCompose(stage -> stage);
    }

    private CompletionStage<PublishResult> swapAnswered(Attempt attempt, SwapResult result) {
        String id = attempt.request().publishId();
        if (result.swapped()) {
            return published(attempt.head(), false);
        }
        return archive.head().thenCompose(stored -> find(id, stored).thenCompose(found -> {
            if (found.isPresent()) {
                return published(found.get(), false);
            }
            Revision current = stored.map(s -> s.head().revision()).orElse(Revision.ZERO);
            return conflict(attempt.request().parent(), current);
        }));
    }

    private CompletionStage<PublishResult> swapFailed(
            Attempt attempt, int number, boolean mayHaveLanded, EndiveholdException failure) {
        boolean open = mayHaveLanded || failure.type() == ErrorType.STORE_UNKNOWN;
        if (!open) {
            return CompletableFuture.failedFuture(failure);
        }
        if (number < MAX_ATTEMPTS) {
            return swapHead(attempt, number + 1, true);
        }
        return CompletableFuture.failedFuture(new EndiveholdException(
                        org.endivehold.error.RunOutcome.UNKNOWN,
                        ErrorType.CONFIG_UNKNOWN_OUTCOME,
                        attempt.request().publishId())
                .causedBy(failure));
    }

    private CompletionStage<PublishResult> published(ConfigurationHead head, boolean repeated) {
        cleaner.clean();
        return CompletableFuture.completedFuture(new PublishResult(head, repeated));
    }

    private CompletionStage<PublishResult> repeated(ConfigurationHead head, String digest) {
        return head.digest().equals(digest)
                ? published(head, true)
                : fail(ErrorType.PUBLISH_ID_REUSED, head.publishId());
    }

    /** Looks for a publish that took effect; the head has to be read before the history. */
    private CompletionStage<Optional<ConfigurationHead>> find(String publishId, Optional<StoredHead> stored) {
        if (stored.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return archive.history()
                .thenApply(history -> Stream.concat(Stream.of(stored.get().head()), history.stream())
                        .filter(head -> head.publishId().equals(publishId))
                        .findFirst());
    }

    private CompletionStage<PublishResult> conflict(Revision parent, Revision current) {
        return changes(parent, current)
                .exceptionally(failure -> "what changed since revision " + parent + " is not kept")
                .thenCompose(changes -> fail(
                        ErrorType.CONFIG_CONFLICT, "edited " + parent + ", current is " + current + ": " + changes));
    }

    private CompletionStage<String> changes(Revision from, Revision to) {
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
