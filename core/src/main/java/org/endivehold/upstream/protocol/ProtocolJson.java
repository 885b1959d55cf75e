package org.endivehold.upstream.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** Reads and writes the messages of this package as JSON; unknown fields are ignored. Thread-safe. */
public final class ProtocolJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private ProtocolJson() {}

    /**
     * Writes a message.
     *
     * @param message any record of this package
     * @return JSON in UTF-8
     */
    public static byte[] write(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads a message.
     *
     * @param json JSON in UTF-8
     * @param type the record class to read
     * @param <T> the record class to read
     * @return the message, or empty if the bytes are not a valid message of this type
     */
    public static <T> Optional<T> read(byte[] json, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(json, type));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
