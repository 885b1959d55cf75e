package org.endivehold.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * Cuts the bytes of one connection into frames. Holds at most one incomplete frame, so its memory is bounded by the
 * largest frame plus one chunk.
 */
public final class FrameDecoder {
    private static final byte[] EMPTY = {};

    private final String peer;
    private final int maxFrameBytes;
    private byte[] rest = EMPTY;

    /**
     * Creates a decoder for a new connection.
     *
     * @param peer name of the peer for messages of errors
     * @param maxFrameBytes largest value of the length field that is accepted
     */
    public FrameDecoder(String peer, int maxFrameBytes) {
        this.peer = peer;
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Takes the next bytes.
     *
     * @param chunk the bytes as they arrived
     * @return the frames that are complete now, in order
     * @throws EndiveholdException of type {@code PEER_PROTOCOL} or {@code PEER_VERSION}; the connection is of no more
     *     use then
     */
    public List<Frame> feed(byte[] chunk) throws EndiveholdException {
        ByteBuffer bytes = ByteBuffer.wrap(joined(chunk));
        List<Frame> frames = new ArrayList<>();
        while (bytes.remaining() >= Frame.LENGTH_BYTES) {
            int length = checkedLength(bytes.getInt(bytes.position()));
            if (bytes.remaining() < Frame.LENGTH_BYTES + length) {
                break;
            }
            bytes.position(bytes.position() + Frame.LENGTH_BYTES);
            frames.add(read(bytes, length));
        }
        rest = Arrays.copyOfRange(bytes.array(), bytes.position(), bytes.limit());
        return frames;
    }

    private byte[] joined(byte[] chunk) {
        if (rest.length == 0) {
            return chunk;
        }
        byte[] all = Arrays.copyOf(rest, rest.length + chunk.length);
        System.arraycopy(chunk, 0, all, rest.length, chunk.length);
        return all;
    }

    private int checkedLength(int length) throws EndiveholdException {
        if (length < Frame.HEADER_BYTES || length > maxFrameBytes) {
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "frame of " + length + " bytes");
        }
        return length;
    }

    private Frame read(ByteBuffer bytes, int length) throws EndiveholdException {
        int version = bytes.get() & 0xFF;
        if (version != Frame.VERSION) {
            throw new EndiveholdException(ErrorType.PEER_VERSION, peer, version);
        }
        int type = bytes.getShort() & 0xFFFF;
        int correlation = bytes.getInt();
        byte[] payload = new byte[length - Frame.HEADER_BYTES];
        bytes.get(payload);
        return new Frame(type, correlation, payload);
    }
}
