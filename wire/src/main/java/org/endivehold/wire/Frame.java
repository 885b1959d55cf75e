package org.endivehold.wire;

/**
 * One message in its transport encoding.
 *
 * <p>Layout, all numbers big-endian: 4 bytes length of the rest of the frame, 1 byte protocol version, 2 bytes message
 * type, 4 bytes correlation id, then the payload in MessagePack.
 *
 * @param type code of the {@link MessageType}
 * @param correlation correlation id: 0 for a message without response, a positive number for a request, and the negated
 *     number for its response
 * @param payload the encoded message; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(int type, int correlation, byte[] payload) {
    /** The only protocol version that this release supports. */
    public static final int PROTOCOL_VERSION = 1;

    /** Size of the length field, in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** Size of the header between the length field and the payload, in bytes. */
    public static final int HEADER_BYTES = 7;
}
