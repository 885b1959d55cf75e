package org.endivehold.config;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Compresses a configuration with gzip and splits it into chunks that fit into values of the key-value service. */
public final class ConfigurationPacker {
    /** Maximum size of a chunk, in bytes. */
    public static final int CHUNK_BYTES = 900_000;

    private ConfigurationPacker() {}

    /**
     * Compresses and splits a configuration.
     *
     * @param configuration the configuration
     * @return its chunks, at least one
     */
    public static List<byte[]> pack(Configuration configuration) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(ConfigurationWriter.canonical(configuration));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] packed = bytes.toByteArray();
        List<byte[]> chunks = new ArrayList<>();
        for (int from = 0; from < packed.length; from += CHUNK_BYTES) {
            chunks.add(Arrays.copyOfRange(packed, from, Math.min(packed.length, from + CHUNK_BYTES)));
        }
        return chunks;
    }

    /**
     * Joins, decompresses and validates a configuration.
     *
     * @param chunks its chunks, in order
     * @return the configuration
     * @throws EndiveholdException of type {@code CONFIG_INVALID} if the chunks are damaged or too large, or the
     *     configuration has faults
     */
    public static Configuration unpack(List<byte[]> chunks) throws EndiveholdException {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        chunks.forEach(packed::writeBytes);
        byte[] json;
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(packed.toByteArray()))) {
            json = gzip.readNBytes(ConfigurationReader.MAX_DOCUMENT_BYTES + 1);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, "the configuration chunks cannot be decompressed")
                    .causedBy(e);
        }
        if (json.length > ConfigurationReader.MAX_DOCUMENT_BYTES) {
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, "the unpacked configuration is too large");
        }
        return ConfigurationReader.readDocument("chunks", json).orThrow();
    }
}
