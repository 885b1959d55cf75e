package org.endivehold.config;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Revision;

/**
 * Metadata of one published revision. Stored under the head key while the revision is the latest and under a history
 * key afterwards.
 *
 * @param revision the revision
 * @param digest SHA-256 over the canonical form, in lower-case hexadecimal
 * @param publishId identifies the publish; chosen by the operator's tool, which sends the same one in a retry
 * @param chunks number of chunks that hold the configuration
 * @param parent the revision that the operator edited
 * @param operator name of the person who published, as sent by the operator's tool
 * @param publishedAtMillis wall-clock time of the publish in milliseconds since 1970; for display only
 */
public record RevisionRecord(
        Revision revision,
        String digest,
        String publishId,
        int chunks,
        Revision parent,
        String operator,
        long publishedAtMillis) {
    /** Maximum number of chunks of a configuration. */
    public static final int MAX_CHUNKS = 64;

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();

    /**
     * Writes the record as JSON.
     *
     * @return UTF-8 bytes
     */
    public byte[] toBytes() {
        return ConfigurationWriter.bytes(this);
    }

    /**
     * Reads a record.
     *
     * @param json what {@link #toBytes} wrote
     * @return the record
     * @throws EndiveholdException of type {@code CONFIG_INVALID} if the bytes are not a valid record
     */
    public static RevisionRecord fromBytes(byte[] json) throws EndiveholdException {
        try {
            RevisionRecord revisionRecord = MAPPER.readValue(json, RevisionRecord.class);
            if (revisionRecord != null && revisionRecord.chunks > 0 && revisionRecord.chunks <= MAX_CHUNKS) {
                return revisionRecord;
            }
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, "the stored head is malformed").causedBy(e);
        }
        throw new EndiveholdException(ErrorType.CONFIG_INVALID, "the stored head has an invalid number of chunks");
    }
}
