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
 * Encodes messages as frames and decodes them. Thread-safe.
 *
 * <p>A payload is a MessagePack map from the names of the record's components to their values. Unknown components are
 * ignored, so that a later release can add some. Before a payload is deserialized, it is parsed once without building
 * objects: the deserializer allocates memory by the declared length of a value before it has read the bytes, so a
 * forged length could exhaust the heap.
 */
public final class MessageCodec {
    private final ObjectMapper mapper;
    private final Map<Integer, MessageType> byCode = new HashMap<>();
    private final Map<Class<?>, MessageType> byClass = new HashMap<>();

    /** Creates a codec for all message types of {@link MessageType}. */
    public MessageCodec() {
        mapper = new MessagePackMapper()
                .registerModule(new Jdk8Module())
                .setSerializationInclusion(JsonInclude.Include.NON_NULL)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
        for (MessageType type : MessageType.values()) {
            byCode.put(type.code(), type);
            byClass.put(type.messageClass(), type);
        }
    }

    /**
     * Encodes a message as a frame, including the length field.
     *
     * @param correlation correlation id, see {@link Frame}
     * @param message the message
     * @return the bytes to send
     * @throws EndiveholdException of type {@code INTERNAL} if the message cannot be serialized or has no message type
     */
    public byte[] encode(int correlation, Message message) throws EndiveholdException {
        MessageType type = byClass.get(message.getClass());
        if (type == null) {
            throw new EndiveholdException(ErrorType.INTERNAL, "no message type for " + message.getClass());
        }
        byte[] payload = encodePayload(message);
        ByteBuffer frame = ByteBuffer.allocate(Frame.LENGTH_BYTES + Frame.HEADER_BYTES + payload.length);
        frame.putInt(Frame.HEADER_BYTES + payload.length);
        frame.put((byte) Frame.PROTOCOL_VERSION);
        frame.putShort((short) type.code());
        frame.putInt(correlation);
        frame.put(payload);
        return frame.array();
    }

    /**
     * Decodes the message of a frame.
     *
     * @param peer name of the sender for error messages
     * @param frame the frame
     * @return the message
     * @throws EndiveholdException of type {@code PEER_PROTOCOL} if the type is unknown or the payload is malformed
     */
    public Message decode(String peer, Frame frame) throws EndiveholdException {
        MessageType type = byCode.get(frame.type());
        if (type == null) {
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "unknown message type " + frame.type());
        }
        try {
            requireSingleValue(frame.payload());
            Message message = mapper.readValue(frame.payload(), type.messageClass());
            if (message == null) {
                throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "null payload in message " + type);
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "malformed payload in message " + type)
                    .causedBy(e);
        }
    }

    private byte[] encodePayload(Message message) throws EndiveholdException {
        try {
            return mapper.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, "cannot serialize " + message.getClass()).causedBy(e);
        }
    }

    private static void requireSingleValue(byte[] payload) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            unpacker.skipValue();
            if (unpacker.hasNext()) {
                throw new IOException("trailing bytes after the message");
            }
        }
    }
}
