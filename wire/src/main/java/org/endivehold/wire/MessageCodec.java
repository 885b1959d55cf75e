package org.endivehold.wire;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Writes messages as frames and reads them back. Thread-safe.
 *
 * <p>Payloads are MessagePack maps of the records' components. Components that a reader does not know are skipped, so
 * that a release may add some. A payload is walked once before it is bound to its record, because the binding allocates
 * what a length field promises before it has seen the bytes.
 */
public final class MessageCodec {
    private final ObjectMapper mapper;
    private final Map<Integer, MessageType> byCode = new HashMap<>();
    private final Map<Class<?>, MessageType> byKind = new HashMap<>();

    /** Creates a codec for all of {@link MessageType}. */
    public MessageCodec() {
        mapper = new MessagePackMapper()
                .registerModule(new Jdk8Module())
                .setSerializationInclusion(JsonInclude.Include.NON_NULL)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
        for (MessageType type : MessageType.values()) {
            byCode.put(type.code(), type);
            byKind.put(type.kind(), type);
        }
    }

    /**
     * Writes a message as a frame with its length field.
     *
     * @param correlation see {@link Frame}
     * @param message the message
     * @return the bytes to send
     * @throws EndiveholdException of type {@code INTERNAL} if the record cannot be written
     */
    public byte[] encode(int correlation, Message message) throws EndiveholdException {
        MessageType type = byKind.get(message.getClass());
        if (type == null) {
            throw new EndiveholdException(ErrorType.INTERNAL, "no message type for " + message.getClass());
        }
        byte[] payload = payload(message);
        ByteBuffer frame = ByteBuffer.allocate(Frame.LENGTH_BYTES + Frame.HEADER_BYTES + payload.length);
        frame.putInt(Frame.HEADER_BYTES + payload.length);
        frame.put((byte) Frame.VERSION);
        frame.putShort((short) type.code());
        frame.putInt(correlation);
        frame.put(payload);
        return frame.array();
    }

    /**
     * Reads the message of a frame.
     *
     * @param peer name of the sender for messages of errors
     * @param frame the frame
     * @return the message
     * @throws EndiveholdException of type {@code PEER_PROTOCOL} if type or payload are not understood
     */
    public Message decode(String peer, Frame frame) throws EndiveholdException {
        MessageType type = byCode.get(frame.type());
        if (type == null) {
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "unknown message type " + frame.type());
        }
        try {
            walk(frame.payload());
            Message message = mapper.readValue(frame.payload(), type.kind());
            if (message == null) {
                throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "empty message " + type);
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "malformed message " + type).causedBy(e);
        }
    }

    private byte[] payload(Message message) throws EndiveholdException {
        try {
            return mapper.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, "cannot write " + message.getClass()).causedBy(e);
        }
    }

    private static void walk(byte[] payload) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            unpacker.skipValue();
            if (unpacker.hasNext()) {
                throw new IOException("bytes after the message");
            }
        }
    }
}
