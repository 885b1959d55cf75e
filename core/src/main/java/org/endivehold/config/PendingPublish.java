package org.endivehold.config;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Revision;

/**
 * Stored record of a publish that may still be in progress.
 *
 * @param publishId the publish
 * @param parent the revision that it replaces
 * @param expected the store revision of the head that its compare-and-swap expects
 */
record PendingPublish(String publishId, Revision parent, long expected) {
    private static final JsonMapper MAPPER = new JsonMapper();

    byte[] toBytes() {
        return ConfigurationWriter.bytes(this);
    }

    static PendingPublish fromBytes(byte[] json) throws EndiveholdException {
        try {
            return MAPPER.readValue(json, PendingPublish.class);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, "a stored pending-publish record is malformed")
                    .causedBy(e);
        }
    }
}
