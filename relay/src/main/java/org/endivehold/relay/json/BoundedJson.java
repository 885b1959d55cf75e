package org.endivehold.relay.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.json.jackson.JacksonCodec;
import java.io.IOException;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * Decodes JSON objects that other programs wrote, whatever their bytes are.
 *
 * <p>The decoder calls itself for each nested object or array, so the nesting has to be limited to what the stack of a
 * thread bears. The default limit of the JSON library is meant for stacks of the usual size; the threads of an entry
 * host have smaller ones. Example: a value that consists of an opening bracket, a thousand times, is rejected at the
 * 65th.
 */
public final class BoundedJson {
    /** Deepest nesting of objects and arrays; the documents of operators and upstreams have fewer than ten levels. */
    public static final int MAX_DEPTH = 64;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build();

    private BoundedJson() {}

    /**
     * Decodes an object.
     *
     * @param document the bytes of a JSON document
     * @return the object
     * @throws EndiveholdException {@link ErrorType#CONFIG_INVALID} if the bytes are no JSON object, or one that is
     *     nested too deeply
     */
    public static JsonObject object(Buffer document) throws EndiveholdException {
        try (JsonParser parser = FACTORY.createParser(document.getBytes())) {
            Object value = JacksonCodec.fromParser(parser, Object.class);
            if (value instanceof JsonObject object) {
                return object;
            }
            throw invalid("it is of another type");
        } catch (IOException | DecodeException e) {
            throw invalid(e.getMessage()).causedBy(e);
        }
    }

    private static EndiveholdException invalid(String reason) {
        return new EndiveholdException(ErrorType.CONFIG_INVALID, "not a JSON object: " + reason);
    }
}
