package org.endivehold.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * Splits the byte stream of one connection into frames. Buffers at most one incomplete frame, so its memory use is
 * bounded by the maximum frame size plus one chunk. Not thread-safe.
 */
public final class FrameDecoder {
    private static final byte[] EMPTY = {};

    private final String peer;
    private final int maxFrameBytes;
    private byte[] incompleteFrame = EMPTY;

    /**
     * Creates a decoder for a new connection.
     *
     * @param peer name of the peer for error messages
     * @param maxFrameBytes maximum accepted value of the length field
     */
    public FrameDecoder(String peer, int maxFrameBytes) {
        this.peer = peer;
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Processes the next bytes of the connection.
     *
     * @param chunk the bytes as received, of any length
     * @return the frames that these bytes completed, in order
     * @throws EndiveholdException of type {@code PEER_PROTOCOL} or {@code PEER_VERSION}; the connection has to be
     *     closed then
     */
    public List<Frame> feed(byte[] chunk) throws EndiveholdException {
        ByteBuffer bytes = ByteBuffer.wrap(appendToIncompleteFrame(chunk));
        List<Frame> frames = new ArrayList<>();
        while (bytes.remaining() >= Frame.LENGTH_BYTES) {
            int length = checkedLength(bytes.getInt(bytes.position()));
            if (bytes.remaining() < Frame.LENGTH_BYTES + length) {
                break;
            }
            bytes.position(bytes.position() + Frame.LENGTH_BYTES);
            frames.add(readFrame(bytes, length));
        }
        incompleteFrame = Arrays.copyOfRange(bytes.array(), bytes.position(), bytes.limit());
        return frames;
    }

    private byte[] appendToIncompleteFrame(byte[] chunk) {
        if (incompleteFrame.length == 0) {
            return chunk;
        }
        byte[] all = Arrays.copyOf(incompleteFrame, incompleteFrame.length + chunk.length);
        System.arraycopy(chunk, 0, all, incompleteFrame.length, chunk.length);
        return all;
    }

    private int checkedLength(int length) throws EndiveholdException {
        if (length < Frame.HEADER_BYTES || length > maxFrameBytes) {
            throw new EndiveholdException(
                    ErrorType.PEER_PROTOCOL, peer, "invalid frame length of " + length + " bytes");
        }
        return length;
    }

    private Frame readFrame(ByteBuffer bytes, int length) throws EndiveholdException {
        int version = bytes.get() & 0xFF;
        if (version != Frame.PROTOCOL_VERSION) {
            throw new EndiveholdException(ErrorType.PEER_VERSION, peer, version);
        }
        int type = bytes.getShort() & 0xFFFF;
        int correlation = bytes.getInt();
        byte[] payload = new byte[length - Frame.HEADER_BYTES];
        bytes.get(payload);
        return new Frame(type, correlation, payload);
    }
}
