package org.endivehold.relay.peer;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.state.SharedStore;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages between daemons as MessagePack behind a length of four bytes. */
final class PeerCodec {
    /** Bytes of the length in front of each frame. */
    static final int LENGTH_BYTES = 4;
    /** Longest frame in bytes: a copy of a large configuration fits. */
    static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int HELLO = 1;
    private static final int PLACED = 2;
    private static final int WRITING = 3;
    private static final int ENDED = 4;
    private static final int FAILED = 5;
    private static final int WANTED = 6;
    private static final int COPY = 7;
    private static final int PING = 8;
    private static final int BYE = 9;

    private PeerCodec() {}

    /** Encodes messages into one frame. */
    static Buffer encode(List<PeerMessage> messages) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(messages.size());
            for (PeerMessage message : messages) {
                pack(packer, message);
            }
            byte[] bytes = packer.toByteArray();
            return Buffer.buffer(LENGTH_BYTES + bytes.length)
                    .appendInt(bytes.length)
                    .appendBytes(bytes);
        } catch (IOException e) {
            throw new IllegalStateException("packing into memory failed", e);
        }
    }

    private static void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.Hello hello) {
            packer.packInt(HELLO).packString(hello.daemon());
            packer.packString(hello.host()).packInt(hello.port());
        } else if (message instanceof PeerMessage.JobPlaced placed) {
            packer.packInt(PLACED);
            packJob(packer, placed.job());
            packer.packBoolean(placed.writing());
        } else if (message instanceof PeerMessage.JobWriting writing) {
            packer.packInt(WRITING);
            packId(packer, writing.id());
        } else if (message instanceof PeerMessage.JobEnded ended) {
            packer.packInt(ENDED);
            packId(packer, ended.id());
        } else if (message instanceof PeerMessage.UpstreamFailed failed) {
            packer.packInt(FAILED).packString(failed.upstream()).packInt(failed.outMillis());
        } else if (message instanceof PeerMessage.CopyWanted wanted) {
            packer.packInt(WANTED).packString(wanted.prefix()).packLong(wanted.revision());
        } else if (message instanceof PeerMessage.Copy copy) {
            packer.packInt(COPY);
            packCopy(packer, copy);
        } else if (message instanceof PeerMessage.Bye) {
            packer.packInt(BYE);
        } else {
            packer.packInt(PING);
        }
    }

    private static void packId(MessageBufferPacker packer, JobId id) throws IOException {
        packer.packString(id.daemon()).packLong(id.number());
    }

    private static void packJob(MessageBufferPacker packer, EngineJob job) throws IOException {
        packId(packer, job.id());
        packer.packArrayHeader(job.engines().size());
        for (String engine : job.engines()) {
            packer.packString(engine).packLong(job.heldAt(engine));
        }
        packer.packLong(job.promptTokens()).packLong(job.outputTokens());
        packer.packDouble(job.firstAimMillis()).packDouble(job.gapAimMillis());
    }

    private static void packCopy(MessageBufferPacker packer, PeerMessage.Copy copy) throws IOException {
        packer.packString(copy.prefix()).packLong(copy.revision());
        packer.packArrayHeader(copy.items().size());
        for (SharedStore.Item item : copy.items()) {
            packer.packString(item.key()).packLong(item.revision());
            byte[] value = item.value().getBytes();
            packer.packBinaryHeader(value.length).writePayload(value);
        }
    }

    /**
     * Decodes a frame without its length.
     *
     * @throws EndiveholdException of type {@code PEER_PROTOCOL} if it cannot be read
     */
    static List<PeerMessage> decode(Buffer frame) throws EndiveholdException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame.getBytes())) {
            int count = unpacker.unpackArrayHeader();
            List<PeerMessage> messages = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                messages.add(unpack(unpacker));
            }
            return messages;
        } catch (IOException | MessagePackException e) {
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, "?", e.getMessage());
        }
    }

    private static PeerMessage unpack(MessageUnpacker unpacker) throws IOException, EndiveholdException {
        int type = unpacker.unpackInt();
        return switch (type) {
            case HELLO -> new PeerMessage.Hello(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackInt());
            case PLACED -> new PeerMessage.JobPlaced(unpackJob(unpacker), unpacker.unpackBoolean());
            case WRITING -> new PeerMessage.JobWriting(unpackId(unpacker));
            case ENDED -> new PeerMessage.JobEnded(unpackId(unpacker));
            case FAILED -> new PeerMessage.UpstreamFailed(unpacker.unpackString(), unpacker.unpackInt());
            case WANTED -> new PeerMessage.CopyWanted(unpacker.unpackString(), unpacker.unpackLong());
            case COPY -> unpackCopy(unpacker);
            case PING -> new PeerMessage.Ping();
            case BYE -> new PeerMessage.Bye();
            default -> throw new EndiveholdException(ErrorType.PEER_PROTOCOL, "?", "message type " + type);
        };
    }

    private static JobId unpackId(MessageUnpacker unpacker) throws IOException {
        return new JobId(unpacker.unpackString(), unpacker.unpackLong());
    }

    private static EngineJob unpackJob(MessageUnpacker unpacker) throws IOException {
        JobId id = unpackId(unpacker);
        int count = unpacker.unpackArrayHeader();
        List<String> engines = new ArrayList<>();
        List<Long> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(unpacker.unpackString());
            held.add(unpacker.unpackLong());
        }
        return new EngineJob(
                id,
                engines,
                held,
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble());
    }

    private static PeerMessage unpackCopy(MessageUnpacker unpacker) throws IOException {
        String prefix = unpacker.unpackString();
        long revision = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader();
        List<SharedStore.Item> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String key = unpacker.unpackString();
            long itemRevision = unpacker.unpackLong();
            byte[] value = unpacker.readPayload(unpacker.unpackBinaryHeader());
            items.add(new SharedStore.Item(key, Buffer.buffer(value), itemRevision));
        }
        return new PeerMessage.Copy(prefix, revision, items);
    }
}
