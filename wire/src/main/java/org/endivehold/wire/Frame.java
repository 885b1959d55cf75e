package org.endivehold.wire;

/**
 * One message as it stands on a connection.
 *
 * <p>Layout, all numbers big-endian: 4 bytes length of what follows, 1 byte protocol version, 2 bytes message type, 4
 * bytes correlation, then the payload in MessagePack.
 *
 * @param type code of the {@link MessageType}
 * @param correlation 0 if no answer is wanted; a positive number for a request; its negative for the answer
 * @param payload the message; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record Frame(int type, int correlation, byte[] payload) {
    /** Version of the protocol that this release speaks. */
    public static final int VERSION = 1;

    /** Bytes of the length field. */
    public static final int LENGTH_BYTES = 4;

    /** Bytes between the length field and the payload. */
    public static final int HEADER_BYTES = 7;
}
