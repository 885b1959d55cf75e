package org.endivehold.config;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.endivehold.config.ConfigurationArchive.StoredHead;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.Revision;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.StoreEntry;
import org.jboss.logging.Logger;

/**
 * Deletes revisions beyond the retention limit and the chunks and records of publishes that can no longer take effect.
 *
 * <p>The pending records are read before the head, and the head before the history. A publish whose id is in neither
 * the head nor the history and whose expected store revision of the head is out of date can therefore never take
 * effect, and its chunks can be deleted. What a failed clean-up leaves behind is deleted after the next publish.
 */
final class PublishCleaner {
    private static final Logger log = Logger.getLogger(PublishCleaner.class);

    private final PlatformStore store;
    private final ConfigurationArchive archive;
    private final int keepRevisions;

    PublishCleaner(PlatformStore store, int keepRevisions) {
        this.store = store;
        this.archive = new ConfigurationArchive(store);
        this.keepRevisions = keepRevisions;
    }

    /** Starts a clean-up in the background; a failure is only logged. */
    void clean() {
        store.list(ConfigurationKeys.PENDING)
                .thenCompose(pending -> archive.head()
                        .thenCompose(head -> archive.history().thenCompose(history -> clean(pending, head, history))))
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        log.debugf("event=publish-cleaning-postponed reason=\"%s\"", failure);
                    }
                });
    }

    private CompletionStage<Void> clean(
            List<StoreEntry> pending, Optional<StoredHead> stored, List<RevisionRecord> history) {
        CompletionStage<Void> chain = CompletableFuture.completedFuture(null);
        if (stored.isEmpty()) {
            return chain;
        }
        Set<String> published = new HashSet<>();
        published.add(stored.get().head().publishId());
        history.forEach(earlier -> published.add(earlier.publishId()));
        for (StoreEntry entry : pending) {
            chain = chain.thenCompose(
                    done -> cleanPending(entry, published, stored.get().storeRevision()));
        }
        long oldest = stored.get().head().revision().value() - keepRevisions;
        for (RevisionRecord earlier : history) {
            if (earlier.revision().value() < oldest) {
                chain = chain.thenCompose(done -> deleteChunks(earlier.publishId(), earlier.parent()))
                        .thenCompose(done -> deleteRecord(earlier.revision()));
            }
        }
        return chain;
    }

    private CompletionStage<Void> cleanPending(StoreEntry entry, Set<String> published, long headStoreRevision) {
        PendingPublish pending;
        try {
            pending = PendingPublish.fromBytes(entry.value());
        } catch (EndiveholdException e) {
            return CompletableFuture.failedFuture(e);
        }
        if (published.contains(pending.publishId())) {
            return delete(entry);
        }
        if (pending.expected() == headStoreRevision) {
            return CompletableFuture.completedFuture(null);
        }
        return deleteChunks(pending.publishId(), pending.parent()).thenCompose(done -> delete(entry));
    }

    private CompletionStage<Void> deleteRecord(Revision revision) {
        return store.get(ConfigurationKeys.history(revision))
                .thenCompose(entry -> entry.map(this::delete).orElse(CompletableFuture.completedFuture(null)));
    }

    private CompletionStage<Void> deleteChunks(String publishId, Revision parent) {
        return store.list(ConfigurationKeys.chunks(publishId, parent)).thenCompose(entries -> {
            CompletionStage<Void> chain = CompletableFuture.completedFuture(null);
            for (StoreEntry entry : entries) {
                chain = chain.thenCompose(done -> delete(entry));
            }
            return chain;
        });
    }

    private CompletionStage<Void> delete(StoreEntry entry) {
        return store.delete(entry.key(), entry.revision()).thenAccept(deleted -> {});
    }
}
