package org.endivehold.relay.peer;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.engine.EngineJob;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages between daemons as MessagePack frames with a length prefix of four bytes. */
final class PeerCodec {
    /** Size of the length prefix of each frame, in bytes. */
    static final int LENGTH_BYTES = 4;
    /** Largest frame, in bytes; large enough for a copy of a large configuration. */
    static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int HELLO = 1;
    private static final int JOB_PLACED = 2;
    private static final int JOB_DECODING = 3;
    private static final int JOB_ENDED = 4;
    private static final int UPSTREAM_FAILED = 5;
    private static final int PING = 8;
    private static final int BYE = 9;
    private static final int MEMBERS = 10;
    private static final int PLACEMENT_REQUEST = 11;
    private static final int PLACEMENT_QUEUED = 12;
    private static final int PLACEMENT_CHOSEN = 13;
    private static final int PLACEMENT_REFUSED = 14;
    private static final int UPSTREAM_OBSERVED = 15;
    // 6, 7, 16 and 17 are not reused: they had revisions without an era.
    private static final int COPY_REQUEST = 18;
    private static final int COPY = 19;
    private static final int COPY_CURRENT = 20;
    private static final int COPY_CHANGED = 21;
    private static final int UPSTREAM_LEAVING = 22;
    private static final int CONFIGURATION_ANNOUNCED = 23;
    private static final int CONFIGURATION_REQUEST = 24;
    private static final int CONFIGURATION_DOCUMENT = 25;
    private static final int TRAITS_SUSPECTED = 26;
    private static final int TRAITS_SOUND = 27;
    private static final int RATE_LIMIT_ANNOUNCED = 28;
    private static final int LIMITED_REQUEST_SENT = 29;
    private static final int PATHS_REPORTED = 30;
    private static final int FORWARD_OFFER = 31;
    private static final int FORWARD_ACCEPTED = 32;
    private static final int FORWARD_DECLINED = 33;
    private static final int FORWARDED_REQUEST = 34;
    private static final int FORWARDED_HEAD = 35;
    private static final int FORWARDED_BYTES = 36;
    private static final int FORWARDED_END = 37;
    private static final int FORWARDED_FAILURE = 38;

    private PeerCodec() {}

    /** Encodes messages into one frame. */
    static Buffer encode(List<PeerMessage> messages) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(messages.size());
            for (PeerMessage message : messages) {
                pack(packer, message);
            }
            FrameExtensions.pack(packer, messages);
            byte[] bytes = packer.toByteArray();
            return Buffer.buffer(LENGTH_BYTES + bytes.length)
                    .appendInt(bytes.length)
                    .appendBytes(bytes);
        } catch (IOException e) {
            throw new IllegalStateException("packing into memory failed", e);
        }
    }

    private static void pack(MessagePacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.Hello hello) {
            PeerFields.pack(packer.packInt(HELLO), hello.daemon());
        } else if (message instanceof PeerMessage.Members members) {
            PeerFields.pack(packer.packInt(MEMBERS), members);
        } else if (message instanceof PeerMessage.Copy copy) {
            PeerFields.pack(packer.packInt(COPY), copy);
        } else if (message instanceof PeerMessage.CopyRequest request) {
            packer.packInt(COPY_REQUEST).packString(request.prefix());
            PeerFields.pack(packer, request.position());
        } else if (message instanceof PeerMessage.CopyCurrent current) {
            packer.packInt(COPY_CURRENT).packString(current.prefix());
            PeerFields.pack(packer, current.position());
            PeerFields.pack(packer, current.changedAt());
            packer.packDouble(current.sinceOutageMillis());
        } else if (message instanceof PeerMessage.CopyChanged changed) {
            packer.packInt(COPY_CHANGED).packString(changed.prefix());
            PeerFields.pack(packer, changed.after());
            PeerFields.pack(packer, changed.changes());
        } else if (message instanceof PeerMessage.ConfigurationAnnounced announced) {
            packer.packInt(CONFIGURATION_ANNOUNCED).packLong(announced.version());
        } else if (message instanceof PeerMessage.ConfigurationRequest request) {
            packer.packInt(CONFIGURATION_REQUEST).packLong(request.version());
        } else if (message instanceof PeerMessage.ConfigurationDocument theirs) {
            PeerFields.pack(packer.packInt(CONFIGURATION_DOCUMENT), theirs.document());
        } else if (message instanceof PeerMessage.TraitsSuspected suspected) {
            PeerFields.pack(packer.packInt(TRAITS_SUSPECTED), suspected);
        } else if (message instanceof PeerMessage.TraitsSound sound) {
            PeerFields.pack(packer.packInt(TRAITS_SOUND), sound);
        } else if (message instanceof PeerMessage.UpstreamFailed failed) {
            packer.packInt(UPSTREAM_FAILED).packString(failed.upstream()).packInt(failed.ejectionMillis());
        } else if (message instanceof PeerMessage.UpstreamObserved observed) {
            packer.packInt(UPSTREAM_OBSERVED).packString(observed.upstream());
            packer.packBoolean(observed.failed()).packDouble(observed.slowdown());
        } else if (message instanceof PeerMessage.UpstreamLeaving leaving) {
            packer.packInt(UPSTREAM_LEAVING).packString(leaving.upstream()).packLong(leaving.startedAtMillis());
        } else if (message instanceof PeerMessage.RateLimitAnnounced limit) {
            PeerFields.pack(packer.packInt(RATE_LIMIT_ANNOUNCED), limit);
        } else if (message instanceof PeerMessage.LimitedRequestSent sent) {
            packer.packInt(LIMITED_REQUEST_SENT).packString(sent.upstream()).packLong(sent.startedAtMillis());
        } else if (message instanceof PeerMessage.Bye) {
            packer.packInt(BYE);
        } else if (message instanceof PeerMessage.Ping) {
            packer.packInt(PING);
        } else {
            packScheduling(packer, message);
        }
    }

    private static void packScheduling(MessagePacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.JobPlaced placed) {
            PeerFields.pack(packer.packInt(JOB_PLACED), placed.job());
            packer.packBoolean(placed.decoding());
        } else if (message instanceof PeerMessage.JobDecoding decoding) {
            PeerFields.pack(packer.packInt(JOB_DECODING), decoding.id());
        } else if (message instanceof PeerMessage.JobEnded ended) {
            PeerFields.pack(packer.packInt(JOB_ENDED), ended.id());
        } else if (message instanceof PeerMessage.PlacementRequest request) {
            PeerFields.pack(packer.packInt(PLACEMENT_REQUEST), request.request());
        } else if (message instanceof PeerMessage.PlacementQueued queued) {
            PeerFields.pack(packer.packInt(PLACEMENT_QUEUED), queued.id());
        } else if (message instanceof PeerMessage.PlacementChosen chosen) {
            PeerFields.pack(packer.packInt(PLACEMENT_CHOSEN), chosen.job());
            PeerFields.pack(packer, chosen.placement());
        } else if (message instanceof PeerMessage.PlacementRefused refused) {
            PeerFields.pack(packer.packInt(PLACEMENT_REFUSED), refused.id());
            packer.packDouble(refused.retryAfterMillis());
        } else {
            packForward(packer, message);
        }
    }

    private static void packForward(MessagePacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.PathsReported report) {
            ForwardFields.pack(packer.packInt(PATHS_REPORTED), report);
        } else if (message instanceof PeerMessage.ForwardOffer offer) {
            packer.packInt(FORWARD_OFFER).packString(offer.daemon());
            packer.packString(offer.service()).packLong(offer.version());
        } else if (message instanceof PeerMessage.ForwardAccepted) {
            packer.packInt(FORWARD_ACCEPTED);
        } else if (message instanceof PeerMessage.ForwardDeclined declined) {
            packer.packInt(FORWARD_DECLINED).packString(declined.reason());
        } else if (message instanceof PeerMessage.ForwardedRequest request) {
            ForwardFields.pack(packer.packInt(FORWARDED_REQUEST), request);
        } else if (message instanceof PeerMessage.ForwardedHead head) {
            ForwardFields.pack(packer.packInt(FORWARDED_HEAD), head);
        } else if (message instanceof PeerMessage.ForwardedBytes bytes) {
            PeerFields.pack(packer.packInt(FORWARDED_BYTES), bytes.bytes());
        } else if (message instanceof PeerMessage.ForwardedEnd) {
            packer.packInt(FORWARDED_END);
        } else if (message instanceof PeerMessage.ForwardedFailure failure) {
            ForwardFields.pack(packer.packInt(FORWARDED_FAILURE), failure);
        } else {
            throw new IllegalArgumentException("no encoding for " + message);
        }
    }

    /**
     * Decodes a frame without its length prefix.
     *
     * @throws EndiveholdException of type {@code PEER_PROTOCOL} if the frame is malformed
     */
    static List<PeerMessage> decode(Buffer frame) throws EndiveholdException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame.getBytes())) {
            int count = unpacker.unpackArrayHeader();
            List<PeerMessage> messages = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                messages.add(unpack(unpacker));
            }
            FrameExtensions.unpack(unpacker, messages);
            return messages;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, "?", e.getMessage());
        }
    }

    private static PeerMessage unpack(MessageUnpacker unpacker) throws IOException, EndiveholdException {
        int type = unpacker.unpackInt();
        return switch (type) {
            case HELLO -> new PeerMessage.Hello(PeerFields.daemon(unpacker));
            case MEMBERS -> PeerFields.members(unpacker);
            case COPY -> PeerFields.copy(unpacker);
            case COPY_REQUEST -> new PeerMessage.CopyRequest(unpacker.unpackString(), PeerFields.position(unpacker));
            case COPY_CURRENT ->
                new PeerMessage.CopyCurrent(
                        unpacker.unpackString(),
                        PeerFields.position(unpacker),
                        PeerFields.position(unpacker),
                        unpacker.unpackDouble());
            case COPY_CHANGED ->
                new PeerMessage.CopyChanged(
                        unpacker.unpackString(), PeerFields.position(unpacker), PeerFields.changes(unpacker));
            case CONFIGURATION_ANNOUNCED -> new PeerMessage.ConfigurationAnnounced(unpacker.unpackLong());
            case CONFIGURATION_REQUEST -> new PeerMessage.ConfigurationRequest(unpacker.unpackLong());
            case CONFIGURATION_DOCUMENT -> new PeerMessage.ConfigurationDocument(PeerFields.binary(unpacker));
            case TRAITS_SUSPECTED -> PeerFields.traitsSuspected(unpacker);
            case TRAITS_SOUND -> PeerFields.traitsSound(unpacker);
            case UPSTREAM_FAILED -> new PeerMessage.UpstreamFailed(unpacker.unpackString(), unpacker.unpackInt());
            case UPSTREAM_OBSERVED ->
                new PeerMessage.UpstreamObserved(
                        unpacker.unpackString(), unpacker.unpackBoolean(), unpacker.unpackDouble());
            case UPSTREAM_LEAVING -> new PeerMessage.UpstreamLeaving(unpacker.unpackString(), unpacker.unpackLong());
            case RATE_LIMIT_ANNOUNCED -> PeerFields.rateLimit(unpacker);
            case LIMITED_REQUEST_SENT ->
                new PeerMessage.LimitedRequestSent(unpacker.unpackString(), unpacker.unpackLong());
            case PING -> new PeerMessage.Ping();
            case BYE -> new PeerMessage.Bye();
            default -> unpackScheduling(type, unpacker);
        };
    }

    private static PeerMessage unpackScheduling(int type, MessageUnpacker unpacker)
            throws IOException, EndiveholdException {
        return switch (type) {
            case JOB_PLACED -> new PeerMessage.JobPlaced(PeerFields.job(unpacker), unpacker.unpackBoolean());
            case JOB_DECODING -> new PeerMessage.JobDecoding(PeerFields.id(unpacker));
            case JOB_ENDED -> new PeerMessage.JobEnded(PeerFields.id(unpacker));
            case PLACEMENT_REQUEST -> new PeerMessage.PlacementRequest(PeerFields.request(unpacker));
            case PLACEMENT_QUEUED -> new PeerMessage.PlacementQueued(PeerFields.id(unpacker));
            case PLACEMENT_CHOSEN -> chosen(unpacker);
            case PLACEMENT_REFUSED ->
                new PeerMessage.PlacementRefused(PeerFields.id(unpacker), unpacker.unpackDouble());
            default -> unpackForward(type, unpacker);
        };
    }

    private static PeerMessage unpackForward(int type, MessageUnpacker unpacker)
            throws IOException, EndiveholdException {
        return switch (type) {
            case PATHS_REPORTED -> ForwardFields.pathsReported(unpacker);
            case FORWARD_OFFER ->
                new PeerMessage.ForwardOffer(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
            case FORWARD_ACCEPTED -> new PeerMessage.ForwardAccepted();
            case FORWARD_DECLINED -> new PeerMessage.ForwardDeclined(unpacker.unpackString());
            case FORWARDED_REQUEST -> ForwardFields.request(unpacker);
            case FORWARDED_HEAD -> ForwardFields.head(unpacker);
            case FORWARDED_BYTES -> new PeerMessage.ForwardedBytes(PeerFields.binary(unpacker));
            case FORWARDED_END -> new PeerMessage.ForwardedEnd();
            case FORWARDED_FAILURE -> ForwardFields.failure(unpacker);
            default -> throw new EndiveholdException(ErrorType.PEER_PROTOCOL, "?", "unknown message type " + type);
        };
    }

    private static PeerMessage chosen(MessageUnpacker unpacker) throws IOException {
        EngineJob job = PeerFields.job(unpacker);
        return new PeerMessage.PlacementChosen(job, PeerFields.placement(unpacker, job));
    }
}
