package org.endivehold.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Revision;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.StoreEntry;

/** Reads the current and earlier published configurations from the key-value service; never writes. */
public final class ConfigurationArchive {
    private final PlatformStore store;

    /**
     * Creates an archive.
     *
     * @param store the key-value service
     */
    public ConfigurationArchive(PlatformStore store) {
        this.store = store;
    }

    /**
     * The head with the store revision at which it was read.
     *
     * @param head the head
     * @param storeRevision the key-value service's modification revision of the head's key
     */
    public record StoredHead(RevisionRecord head, long storeRevision) {}

    /**
     * Reads the head.
     *
     * @return the head, or empty if nothing was ever published; fails with {@code CONFIG_INVALID} if it is malformed
     */
    public CompletionStage<Optional<StoredHead>> head() {
        return store.get(ConfigurationKeys.HEAD).thenCompose(entry -> {
            if (entry.isEmpty()) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            return parse(entry.get())
                    .thenApply(
                            head -> Optional.of(new StoredHead(head, entry.get().revision())));
        });
    }

    /**
     * Reads the retained records of earlier revisions.
     *
     * @return the records, oldest first; the head is not among them
     */
    public CompletionStage<List<RevisionRecord>> history() {
        return store.list(ConfigurationKeys.HISTORY).thenCompose(entries -> {
            List<RevisionRecord> records = new ArrayList<>();
            try {
                for (StoreEntry entry : entries) {
                    records.add(RevisionRecord.fromBytes(entry.value()));
                }
            } catch (EndiveholdException e) {
                return CompletableFuture.failedFuture(e);
            }
            return CompletableFuture.completedFuture(records);
        });
    }

    /**
     * Finds the record of a revision among the head and the history.
     *
     * @param revision the revision
     * @return the record; fails with {@code REVISION_UNKNOWN} if it is no longer retained
     */
    public CompletionStage<RevisionRecord> find(Revision revision) {
        return head().thenCompose(stored -> {
            if (stored.isPresent() && stored.get().head().revision().equals(revision)) {
                return CompletableFuture.completedFuture(stored.get().head());
            }
            return store.get(ConfigurationKeys.history(revision)).thenCompose(entry -> {
                if (entry.isEmpty()) {
                    return CompletableFuture.failedFuture(
                            new EndiveholdException(ErrorType.REVISION_UNKNOWN, revision));
                }
                return parse(entry.get());
            });
        });
    }

    /**
     * Loads the configuration of a revision and verifies its digest.
     *
     * @param revisionRecord the record of the revision
     * @return the configuration; fails with {@code REVISION_UNKNOWN} if a chunk was deleted, {@code CONFIG_DIGEST} if
     *     the digest differs
     */
    public CompletionStage<Configuration> load(RevisionRecord revisionRecord) {
        return chunks(revisionRecord, new ArrayList<>()).thenCompose(chunks -> {
            try {
                Configuration configuration = ConfigurationPacker.unpack(chunks);
                if (!ConfigurationWriter.digest(configuration).equals(revisionRecord.digest())) {
                    throw new EndiveholdException(ErrorType.CONFIG_DIGEST, revisionRecord.revision());
                }
                return CompletableFuture.completedFuture(configuration);
            } catch (EndiveholdException e) {
                return CompletableFuture.failedFuture(e);
            }
        });
    }

    private CompletionStage<List<byte[]>> chunks(RevisionRecord revisionRecord, List<byte[]> chunks) {
        if (chunks.size() == revisionRecord.chunks()) {
            return CompletableFuture.completedFuture(chunks);
        }
        String key = ConfigurationKeys.chunk(revisionRecord.publishId(), revisionRecord.parent(), chunks.size());
        return store.get(key).thenCompose(entry -> {
            if (entry.isEmpty()) {
                return CompletableFuture.failedFuture(
                        new EndiveholdException(ErrorType.REVISION_UNKNOWN, revisionRecord.revision()));
            }
            chunks.add(entry.get().value());
            return chunks(revisionRecord, chunks);
        });
    }

    private static CompletionStage<RevisionRecord> parse(StoreEntry entry) {
        try {
            return CompletableFuture.completedFuture(RevisionRecord.fromBytes(entry.value()));
        } catch (EndiveholdException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
