package org.endivehold.config;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Revision;

/**
 * What the key-value service holds about one revision: as the head while it is the latest, as history afterwards.
 *
 * @param revision the revision
 * @param digest SHA-256 over the canonical form, in lower-case hexadecimal
 * @param publishId identifies the publish; chosen by the operator's tool, the same in a retry
 * @param chunks number of chunks that hold the configuration
 * @param parent the revision that the operator edited
 * @param operator who published, as the tool gave it
 * @param publishedAtMillis wall-clock time of the publish in milliseconds since 1970; only for people
 */
public record ConfigurationHead(
        Revision revision,
        String digest,
        String publishId,
        int chunks,
        Revision parent,
        String operator,
        long publishedAtMillis) {
    /** Most chunks that a configuration may have. */
    public static final int MAX_CHUNKS = 64;

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();

    /**
     * Writes the head as JSON.
     *
     * @return UTF-8 bytes
     */
    public byte[] toBytes() {
        return ConfigurationWriter.bytes(this);
    }

    /**
     * Reads a head.
     *
     * @param json what {@link #toBytes} wrote
     * @return the head
     * @throws EndiveholdException of type {@code CONFIG_INVALID} if the bytes are no head
     */
    public static ConfigurationHead fromBytes(byte[] json) throws EndiveholdException {
        try {
            ConfigurationHead head = MAPPER.readValue(json, ConfigurationHead.class);
            if (head != null && head.chunks > 0 && head.chunks <= MAX_CHUNKS) {
                return head;
            }
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, "the stored head is malformed").causedBy(e);
        }
        throw new EndiveholdException(ErrorType.CONFIG_INVALID, "the stored head has no valid number of chunks");
    }
}
