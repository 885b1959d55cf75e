package org.endivehold.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.ZoneName;

class FramingProperties {
    private static final int MAX_FRAME_BYTES = 256;
    private static final Hello HELLO =
            new Hello(new HostId("host-1"), new Incarnation(7), new ZoneName("zone-a"), "127.0.0.1", 8082);

    private final MessageCodec codec = new MessageCodec();

    @Property(seed = "101")
    void framesDecodeForAnyChunkSize(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 1_000_000) Integer> correlations,
            @ForAll @IntRange(min = 1, max = 40) int chunkBytes)
            throws EndiveholdException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int correlation : correlations) {
            all.writeBytes(codec.encode(correlation, HELLO));
        }
        List<Frame> frames = new ArrayList<>();
        FrameDecoder decoder = new FrameDecoder("peer", MAX_FRAME_BYTES);
        byte[] bytes = all.toByteArray();
        for (int at = 0; at < bytes.length; at += chunkBytes) {
            frames.addAll(decoder.feed(Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + chunkBytes))));
        }
        assertEquals(correlations, frames.stream().map(Frame::correlation).toList());
        for (Frame frame : frames) {
            assertEquals(HELLO, codec.decode("peer", frame));
        }
    }

    @Property(seed = "102", tries = 5_000)
    void arbitraryBytesYieldFramesOrAnExpectedErrorType(@ForAll byte[] bytes) {
        assertDecodesOrFailsWithExpectedType(bytes);
    }

    @Property(seed = "103", tries = 5_000)
    void damagedFramesYieldAMessageOrAnExpectedErrorType(
            @ForAll @IntRange(min = 0, max = 255) int value, @ForAll @IntRange(min = 0, max = 200) int position)
            throws EndiveholdException {
        byte[] bytes = codec.encode(1, HELLO);
        bytes[position % bytes.length] = (byte) value;
        assertDecodesOrFailsWithExpectedType(bytes);
    }

    @Property(seed = "104", tries = 5_000)
    void arbitraryPayloadsYieldAMessageOrAnExpectedErrorType(@ForAll byte[] payload) {
        for (MessageType type : MessageType.values()) {
            try {
                assertEquals(
                        type.messageClass(),
                        codec.decode("peer", new Frame(type.code(), 0, payload)).getClass());
            } catch (EndiveholdException e) {
                assertEquals(ErrorType.PEER_PROTOCOL, e.type());
            }
        }
    }

    @Example
    void malformedInputIsRefused() {
        Object[][] cases = {
            {"length too small", new byte[] {0, 0, 0, 6, 1, 0, 1, 0, 0, 0}, ErrorType.PEER_PROTOCOL},
            {"length negative", new byte[] {-1, -1, -1, -1}, ErrorType.PEER_PROTOCOL},
            {"length above the limit", new byte[] {0, 0, 1, 1}, ErrorType.PEER_PROTOCOL},
            {"unknown version", new byte[] {0, 0, 0, 7, 9, 0, 1, 0, 0, 0, 0}, ErrorType.PEER_VERSION},
            {"unknown type", new byte[] {0, 0, 0, 7, 1, 127, 1, 0, 0, 0, 0}, ErrorType.PEER_PROTOCOL},
            {"no payload", new byte[] {0, 0, 0, 7, 1, 0, 1, 0, 0, 0, 0}, ErrorType.PEER_PROTOCOL},
            {"nil payload", new byte[] {0, 0, 0, 8, 1, 0, 1, 0, 0, 0, 0, (byte) 0xC0}, ErrorType.PEER_PROTOCOL},
            {"binary of 2 GB", binaryWithDeclaredLengthOf2Gb(), ErrorType.PEER_PROTOCOL},
            {"two values", new byte[] {0, 0, 0, 9, 1, 0, 1, 0, 0, 0, 0, (byte) 0x80, 1}, ErrorType.PEER_PROTOCOL},
        };
        for (Object[] c : cases) {
            EndiveholdException e = assertThrows(EndiveholdException.class, () -> decodeAll((byte[]) c[1]), "" + c[0]);
            assertEquals(c[2], e.type(), "" + c[0]);
        }
    }

    @Example
    void unknownComponentsAreIgnored() throws Exception {
        byte[] payload = new org.msgpack.jackson.dataformat.MessagePackMapper()
                .writeValueAsBytes(java.util.Map.of("code", 3, "message", "m", "later", List.of(1, 2)));
        assertEquals(new Failure(3, "m"), codec.decode("peer", new Frame(MessageType.FAILURE.code(), 0, payload)));
        assertArrayEquals(codec.encode(1, new Failure(3, "m")), codec.encode(1, new Failure(3, "m")));
    }

    private static byte[] binaryWithDeclaredLengthOf2Gb() {
        byte[] frame = {0, 0, 0, 18, 1, 0, 1, 0, 0, 0, 0, (byte) 0x81, (byte) 0xA4, 'h', 'o', 's', 't', 0, 0, 0, 0, 0};
        frame[17] = (byte) 0xC6;
        frame[18] = 0x7F;
        frame[19] = (byte) 0xFF;
        frame[20] = (byte) 0xFF;
        frame[21] = (byte) 0xFF;
        return frame;
    }

    private void assertDecodesOrFailsWithExpectedType(byte[] bytes) {
        try {
            assertTrue(decodeAll(bytes) <= 1);
        } catch (EndiveholdException e) {
            assertTrue(e.type() == ErrorType.PEER_PROTOCOL || e.type() == ErrorType.PEER_VERSION, e::getMessage);
        }
    }

    private int decodeAll(byte[] bytes) throws EndiveholdException {
        List<Frame> frames = new FrameDecoder("peer", MAX_FRAME_BYTES).feed(bytes);
        for (Frame frame : frames) {
            codec.decode("peer", frame);
        }
        return frames.size();
    }
}
