package org.endivehold.relay.peer;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.schedule.WaitReason;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Fields that were added to messages after their first version, at the end of a frame.
 *
 * <p>A frame is an array of messages. A daemon reads as many as the array has and ignores the bytes after it, so bytes
 * there do not disturb a daemon of an earlier version. They hold an array of extensions, each with its kind, the index
 * of the message that it belongs to, and its fields as bytes; a kind that is not known is skipped. A frame without
 * extensions has the same bytes as in the first version.
 */
final class FrameExtensions {
    private static final int TRAFFIC_CLASS = 1;
    private static final int WAIT_REASON = 2;
    /** In a {@code Ping}, without fields: the sender gets no answers from the store. */
    private static final int STORE_UNAVAILABLE = 3;

    private FrameExtensions() {}

    /** Fields of one message. */
    private record Extension(int kind, int index, Buffer fields) {}

    /** Packs what the messages hold beyond the fields of their first version. */
    static void pack(MessagePacker packer, List<PeerMessage> messages) throws IOException {
        List<Extension> extensions = new ArrayList<>();
        for (int i = 0; i < messages.size(); i++) {
            TrafficClass traffic = traffic(messages.get(i));
            if (!traffic.equals(TrafficClass.DEFAULT)) {
                extensions.add(new Extension(TRAFFIC_CLASS, i, Buffer.buffer(encode(traffic))));
            }
            Optional<WaitReason> reason = reason(messages.get(i));
            if (reason.isPresent()) {
                extensions.add(new Extension(WAIT_REASON, i, Buffer.buffer(encode(reason.get()))));
            }
            if (messages.get(i) instanceof PeerMessage.Ping ping && ping.storeUnavailable()) {
                extensions.add(new Extension(STORE_UNAVAILABLE, i, Buffer.buffer()));
            }
        }
        if (extensions.isEmpty()) {
            return;
        }
        packer.packArrayHeader(extensions.size());
        for (Extension extension : extensions) {
            packer.packInt(extension.kind()).packInt(extension.index());
            packer.packBinaryHeader(extension.fields().length())
                    .writePayload(extension.fields().getBytes());
        }
    }

    /** Adds what follows the messages of a frame to them. */
    static void unpack(MessageUnpacker unpacker, List<PeerMessage> messages) throws IOException {
        if (!unpacker.hasNext()) {
            return;
        }
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            int kind = unpacker.unpackInt();
            int index = unpacker.unpackInt();
            byte[] fields = unpacker.readPayload(unpacker.unpackBinaryHeader());
            if (index < 0 || index >= messages.size()) {
                continue;
            }
            if (kind == TRAFFIC_CLASS) {
                messages.set(index, extend(messages.get(index), decode(fields)));
            } else if (kind == WAIT_REASON) {
                messages.set(index, extend(messages.get(index), decodeReason(fields)));
            } else if (kind == STORE_UNAVAILABLE && messages.get(index) instanceof PeerMessage.Ping) {
                messages.set(index, new PeerMessage.Ping(true));
            }
        }
    }

    private static TrafficClass traffic(PeerMessage message) {
        if (message instanceof PeerMessage.PlacementRequest request) {
            return request.request().need().traffic();
        } else if (message instanceof PeerMessage.JobPlaced placed) {
            return placed.job().traffic();
        } else if (message instanceof PeerMessage.PlacementChosen chosen) {
            return chosen.job().traffic();
        }
        return TrafficClass.DEFAULT;
    }

    private static PeerMessage extend(PeerMessage message, TrafficClass traffic) {
        if (message instanceof PeerMessage.PlacementRequest request) {
            return new PeerMessage.PlacementRequest(request.request().withTraffic(traffic));
        } else if (message instanceof PeerMessage.JobPlaced placed) {
            return new PeerMessage.JobPlaced(placed.job().withTraffic(traffic), placed.decoding());
        } else if (message instanceof PeerMessage.PlacementChosen chosen) {
            return new PeerMessage.PlacementChosen(
                    chosen.job().withTraffic(traffic), chosen.placement(), chosen.reason());
        }
        return message;
    }

    private static Optional<WaitReason> reason(PeerMessage message) {
        if (message instanceof PeerMessage.PlacementChosen chosen) {
            return chosen.reason();
        } else if (message instanceof PeerMessage.PlacementRefused refused) {
            return refused.reason();
        }
        return Optional.empty();
    }

    private static PeerMessage extend(PeerMessage message, Optional<WaitReason> reason) {
        if (message instanceof PeerMessage.PlacementChosen chosen) {
            return new PeerMessage.PlacementChosen(chosen.job(), chosen.placement(), reason);
        } else if (message instanceof PeerMessage.PlacementRefused refused) {
            return new PeerMessage.PlacementRefused(refused.id(), refused.retryAfterMillis(), reason);
        }
        return message;
    }

    private static byte[] encode(WaitReason reason) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(reason.label());
            return packer.toByteArray();
        }
    }

    private static Optional<WaitReason> decodeReason(byte[] fields) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(fields)) {
            return WaitReason.ofLabel(unpacker.unpackString());
        }
    }

    private static byte[] encode(TrafficClass traffic) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(traffic.customer());
            packer.packInt(traffic.customerRank()).packInt(traffic.routeRank());
            return packer.toByteArray();
        }
    }

    private static TrafficClass decode(byte[] fields) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(fields)) {
            return new TrafficClass(unpacker.unpackString(), unpacker.unpackInt(), unpacker.unpackInt());
        }
    }
}
