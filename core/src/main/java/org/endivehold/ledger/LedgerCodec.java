package org.endivehold.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Optional;
import org.endivehold.platform.StoreEntry;

/** Converts ledger entries to and from their stored form, JSON in UTF-8. */
public final class LedgerCodec {
    private static final ObjectMapper JSON =
            JsonMapper.builder().addModule(new Jdk8Module()).build();

    private LedgerCodec() {}

    /**
     * Encodes an entry.
     *
     * @param entry the entry
     * @return JSON in UTF-8
     */
    public static byte[] encode(LedgerEntry entry) {
        try {
            return JSON.writeValueAsBytes(entry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode a ledger entry as JSON", e);
        }
    }

    /**
     * Decodes an entry.
     *
     * @param stored the key and its value in the key-value service
     * @return the entry, or empty if the value is malformed or incomplete
     */
    public static Optional<LedgerEntry> decode(StoreEntry stored) {
        try {
            LedgerEntry entry = JSON.readValue(stored.value(), LedgerEntry.class);
            boolean complete = entry != null
                    && entry.claim() != null
                    && entry.digest() != null
                    && entry.host() != null
                    && entry.incarnation() != null
                    && entry.state() != null
                    && (entry.state() != LedgerEntry.State.DONE
                            || entry.answer().isPresent());
            return complete ? Optional.of(entry) : Optional.empty();
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }
}
