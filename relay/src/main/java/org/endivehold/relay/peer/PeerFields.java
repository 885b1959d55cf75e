package org.endivehold.relay.peer;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.endivehold.relay.crash.RequestTrait;
import org.endivehold.relay.crash.SoundTrait;
import org.endivehold.relay.crash.SuspectTrait;
import org.endivehold.relay.crash.UpstreamStart;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.limit.RateLimitAnnouncement;
import org.endivehold.relay.schedule.EngineRequest;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StorePosition;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Packs and unpacks message fields as MessagePack; each {@code pack} is followed by the method that unpacks it. */
final class PeerFields {
    private PeerFields() {}

    static void pack(MessagePacker packer, DaemonEntry entry) throws IOException {
        packer.packString(entry.name()).packString(entry.host()).packInt(entry.port());
        packer.packString(entry.zone()).packDouble(entry.capacity());
    }

    static DaemonEntry daemon(MessageUnpacker unpacker) throws IOException {
        return new DaemonEntry(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackString(),
                unpacker.unpackDouble());
    }

    static void pack(MessagePacker packer, PeerMessage.Members list) throws IOException {
        packer.packArrayHeader(list.members().size());
        for (PeerMessage.Member member : list.members()) {
            pack(packer, member.daemon());
            packer.packLong(member.ageMillis());
        }
    }

    static PeerMessage.Members members(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<PeerMessage.Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(new PeerMessage.Member(daemon(unpacker), unpacker.unpackLong()));
        }
        return new PeerMessage.Members(members);
    }

    static void pack(MessagePacker packer, JobId id) throws IOException {
        packer.packString(id.daemon()).packLong(id.number());
    }

    static JobId id(MessageUnpacker unpacker) throws IOException {
        return new JobId(unpacker.unpackString(), unpacker.unpackLong());
    }

    static void pack(MessagePacker packer, EngineJob job) throws IOException {
        pack(packer, job.id());
        packer.packArrayHeader(job.engines().size());
        for (String engine : job.engines()) {
            packer.packString(engine).packLong(job.heldAt(engine));
        }
        packer.packLong(job.promptTokens()).packLong(job.outputTokens());
        packer.packDouble(job.firstEventTargetMillis()).packDouble(job.gapTargetMillis());
    }

    static EngineJob job(MessageUnpacker unpacker) throws IOException {
        JobId id = id(unpacker);
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

    static void pack(MessagePacker packer, EngineRequest request) throws IOException {
        pack(packer, request.id());
        packer.packString(request.service());
        PromptNeed need = request.need();
        packer.packLong(need.promptTokens()).packLong(need.outputTokens());
        packer.packDouble(need.firstEventTargetMillis()).packDouble(need.gapTargetMillis());
        packer.packDouble(need.elapsedMillis()).packDouble(need.remainingMillis());
        pack(packer, request.excluded());
        pack(packer, request.allowedCold());
        packer.packBoolean(request.mayWait());
    }

    static EngineRequest request(MessageUnpacker unpacker) throws IOException {
        JobId id = id(unpacker);
        String service = unpacker.unpackString();
        PromptNeed need = new PromptNeed(
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble());
        return new EngineRequest(id, service, need, names(unpacker), names(unpacker), unpacker.unpackBoolean());
    }

    private static void pack(MessagePacker packer, Collection<String> names) throws IOException {
        packer.packArrayHeader(names.size());
        for (String name : names) {
            packer.packString(name);
        }
    }

    private static Set<String> names(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < count; i++) {
            names.add(unpacker.unpackString());
        }
        return names;
    }

    /** Packs a placement without its engines and memory, which are part of its job. */
    static void pack(MessagePacker packer, Placement placement) throws IOException {
        packer.packDouble(placement.firstTokenMillis())
                .packDouble(placement.costToOthers())
                .packDouble(placement.ownCost());
    }

    static Placement placement(MessageUnpacker unpacker, EngineJob job) throws IOException {
        return new Placement(
                job.engines(),
                job.heldTokens(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble());
    }

    static void pack(MessagePacker packer, StorePosition position) throws IOException {
        packer.packLong(position.era()).packLong(position.revision());
    }

    static StorePosition position(MessageUnpacker unpacker) throws IOException {
        return new StorePosition(unpacker.unpackLong(), unpacker.unpackLong());
    }

    /** Packs a copy; all its items are of the era of its position. */
    static void pack(MessagePacker packer, PeerMessage.Copy copy) throws IOException {
        packer.packString(copy.prefix());
        pack(packer, copy.position());
        packer.packArrayHeader(copy.items().size());
        for (SharedStore.Item item : copy.items()) {
            packer.packString(item.key()).packLong(item.position().revision());
            pack(packer, item.value());
        }
    }

    static PeerMessage.Copy copy(MessageUnpacker unpacker) throws IOException {
        String prefix = unpacker.unpackString();
        StorePosition position = position(unpacker);
        int count = unpacker.unpackArrayHeader();
        List<SharedStore.Item> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String key = unpacker.unpackString();
            StorePosition changedAt = new StorePosition(position.era(), unpacker.unpackLong());
            items.add(new SharedStore.Item(key, binary(unpacker), changedAt));
        }
        return new PeerMessage.Copy(prefix, position, items);
    }

    /** Packs changes; all of them are of the era of their position. */
    static void pack(MessagePacker packer, SharedStore.Changes changes) throws IOException {
        pack(packer, changes.position());
        packer.packArrayHeader(changes.changes().size());
        for (SharedStore.Change change : changes.changes()) {
            packer.packString(change.key()).packLong(change.position().revision());
            packer.packBoolean(change.value().isPresent());
            if (change.value().isPresent()) {
                pack(packer, change.value().get());
            }
        }
    }

    static SharedStore.Changes changes(MessageUnpacker unpacker) throws IOException {
        StorePosition position = position(unpacker);
        int count = unpacker.unpackArrayHeader();
        List<SharedStore.Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String key = unpacker.unpackString();
            StorePosition changedAt = new StorePosition(position.era(), unpacker.unpackLong());
            Optional<Buffer> value = unpacker.unpackBoolean() ? Optional.of(binary(unpacker)) : Optional.empty();
            changes.add(new SharedStore.Change(key, changedAt, value));
        }
        return new SharedStore.Changes(changes, position);
    }

    static void pack(MessagePacker packer, Buffer value) throws IOException {
        byte[] bytes = value.getBytes();
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    static Buffer binary(MessageUnpacker unpacker) throws IOException {
        return Buffer.buffer(unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    /** Packs a rate limit; an upstream that names none has a limit of zero. */
    static void pack(MessagePacker packer, PeerMessage.RateLimitAnnounced limit) throws IOException {
        RateLimitAnnouncement said = limit.announcement();
        packer.packString(said.upstream()).packLong(said.startedAtMillis());
        packer.packDouble(said.perSecond().orElse(0)).packDouble(limit.askedMillis());
    }

    static PeerMessage.RateLimitAnnounced rateLimit(MessageUnpacker unpacker) throws IOException {
        String upstream = unpacker.unpackString();
        long startedAt = unpacker.unpackLong();
        double perSecond = unpacker.unpackDouble();
        OptionalDouble limit = perSecond > 0 ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
        return new PeerMessage.RateLimitAnnounced(
                new RateLimitAnnouncement(upstream, startedAt, limit), unpacker.unpackDouble());
    }

    static void pack(MessagePacker packer, PeerMessage.TraitsSuspected suspected) throws IOException {
        packer.packArrayHeader(suspected.traits().size());
        for (SuspectTrait trait : suspected.traits()) {
            packer.packString(trait.trait().toString()).packInt(trait.trials());
            packer.packArrayHeader(trait.crashes().size());
            for (SuspectTrait.Crash crash : trait.crashes()) {
                packer.packString(crash.upstream().upstream())
                        .packLong(crash.upstream().startedAtMillis())
                        .packDouble(crash.ageMillis());
            }
        }
    }

    static PeerMessage.TraitsSuspected traitsSuspected(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<SuspectTrait> traits = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RequestTrait trait = RequestTrait.parse(unpacker.unpackString());
            int trials = unpacker.unpackInt();
            int crashCount = unpacker.unpackArrayHeader();
            List<SuspectTrait.Crash> crashes = new ArrayList<>();
            for (int k = 0; k < crashCount; k++) {
                UpstreamStart start = new UpstreamStart(unpacker.unpackString(), unpacker.unpackLong());
                crashes.add(new SuspectTrait.Crash(start, unpacker.unpackDouble()));
            }
            traits.add(new SuspectTrait(trait, crashes, trials));
        }
        return new PeerMessage.TraitsSuspected(traits);
    }

    static void pack(MessagePacker packer, PeerMessage.TraitsSound sound) throws IOException {
        packer.packArrayHeader(sound.traits().size());
        for (SoundTrait trait : sound.traits()) {
            packer.packString(trait.trait().toString()).packDouble(trait.ageMillis());
        }
    }

    static PeerMessage.TraitsSound traitsSound(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<SoundTrait> traits = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            traits.add(new SoundTrait(RequestTrait.parse(unpacker.unpackString()), unpacker.unpackDouble()));
        }
        return new PeerMessage.TraitsSound(traits);
    }
}
