package org.endivehold.relay.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.crash.RequestTrait;
import org.endivehold.relay.crash.SoundTrait;
import org.endivehold.relay.crash.SuspectTrait;
import org.endivehold.relay.crash.UpstreamStart;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.limit.RateLimitAnnouncement;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.schedule.EngineRequest;
import org.endivehold.relay.schedule.WaitReason;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StorePosition;
import org.junit.jupiter.api.Test;

class PeerCodecTest {
    private static final JobId ID = new JobId("d#1", 7);
    private static final DaemonEntry DAEMON = new DaemonEntry("d#1", "10.0.0.1", 7000, "zone", 0.75);
    private static final EngineJob JOB = new EngineJob(ID, List.of("a", "b"), List.of(9L, 0L), 100, 20, 300, 250);
    private static final EngineRequest REQUEST =
            new EngineRequest(ID, "service", new PromptNeed(9, 8, 7, 6, 5, 4), Set.of("a"), Set.of("b", "c"), true);
    private static final List<PeerMessage> ALL = List.of(
            new PeerMessage.Hello(DAEMON),
            new PeerMessage.Members(List.of(new PeerMessage.Member(DAEMON, 40))),
            new PeerMessage.JobPlaced(JOB, true),
            new PeerMessage.PlacementRequest(REQUEST),
            new PeerMessage.PlacementQueued(ID),
            new PeerMessage.PlacementChosen(JOB, new Placement(JOB.engines(), JOB.heldTokens(), 1, 2, 3)),
            new PeerMessage.PlacementRefused(ID, 700),
            new PeerMessage.UpstreamObserved("a", true, 1.5),
            new PeerMessage.JobDecoding(ID),
            new PeerMessage.JobEnded(ID),
            new PeerMessage.UpstreamFailed("a", 600),
            new PeerMessage.CopyRequest("op/", at(12)),
            new PeerMessage.Copy("op/", at(13), List.of(new SharedStore.Item("op/x", Buffer.buffer("value"), at(13)))),
            new PeerMessage.CopyCurrent("op/", at(13), at(12), 1_500),
            new PeerMessage.CopyChanged(
                    "op/",
                    at(12),
                    new SharedStore.Changes(
                            List.of(
                                    new SharedStore.Change("op/x", at(13), Optional.of(Buffer.buffer("new"))),
                                    new SharedStore.Change("op/y", at(14), Optional.empty())),
                            at(15))),
            new PeerMessage.TraitsSuspected(List.of(new SuspectTrait(
                    RequestTrait.promptPart("p"),
                    List.of(new SuspectTrait.Crash(new UpstreamStart("a", 1_700_000_000_000L), 3)),
                    2))),
            new PeerMessage.TraitsSound(List.of(new SoundTrait(RequestTrait.promptPart("q"), 40))),
            new PeerMessage.ConfigurationAnnounced(12),
            new PeerMessage.ConfigurationRequest(PeerMessage.ConfigurationRequest.NONE),
            new PeerMessage.ConfigurationDocument(Buffer.buffer("document")),
            new PeerMessage.UpstreamLeaving("a", 1_700_000_000_000L),
            new PeerMessage.RateLimitAnnounced(
                    new RateLimitAnnouncement("a", 1_700_000_000_000L, OptionalDouble.of(1.5)), 30),
            new PeerMessage.RateLimitAnnounced(new RateLimitAnnouncement("a", 7, OptionalDouble.empty()), 0),
            new PeerMessage.LimitedRequestSent("a", 1_700_000_000_000L),
            new PeerMessage.PathsReported("d#1", 3, List.of("service")),
            new PeerMessage.ForwardOffer("d#1", "service", 12),
            new PeerMessage.ForwardAccepted(),
            new PeerMessage.ForwardDeclined("stopping"),
            new PeerMessage.ForwardedRequest(
                    "service",
                    "POST",
                    "/a%20b?x=1",
                    "/a%20b",
                    List.of(new PeerMessage.Header("Accept", "a"), new PeerMessage.Header("Accept", "b")),
                    4,
                    Optional.of(new Customer("customer", OptionalInt.of(0))),
                    1_500,
                    OptionalLong.of(0),
                    2,
                    1,
                    true),
            new PeerMessage.ForwardedRequest(
                    "service",
                    "GET",
                    "/",
                    "/",
                    List.of(),
                    0,
                    Optional.of(new Customer("customer", OptionalInt.empty())),
                    1,
                    OptionalLong.empty(),
                    0,
                    0,
                    false),
            new PeerMessage.ForwardedHead(200, true, List.of(new PeerMessage.Header("Seal", "s"))),
            new PeerMessage.ForwardedBytes(Buffer.buffer("bytes")),
            new PeerMessage.ForwardedEnd(),
            new PeerMessage.ForwardedFailure(503, ErrorType.UPSTREAM_UNREACHABLE, 0.5),
            new PeerMessage.Ping(),
            new PeerMessage.Bye());

    private static StorePosition at(long revision) {
        return new StorePosition(2, revision);
    }

    @Test
    void messagesAreDecodedWhateverTheChunkBoundaries() {
        Buffer frames = PeerCodec.encode(ALL).appendBuffer(PeerCodec.encode(ALL.subList(0, 3)));
        for (int cut : new int[] {1, 3, 17, frames.length()}) {
            List<PeerMessage> read = new ArrayList<>();
            FrameReader reader = new FrameReader(read::add, fault -> {
                throw new AssertionError(fault);
            });
            for (int at = 0; at < frames.length(); at += cut) {
                reader.handle(frames.getBuffer(at, Math.min(frames.length(), at + cut)));
            }
            List<PeerMessage> expected = new ArrayList<>(ALL);
            expected.addAll(ALL.subList(0, 3));
            assertEquals(expected, read);
        }
    }

    /** Daemons of the version before read these bytes, so a change of them would close connections in an upgrade. */
    @Test
    void aFrameWithoutExtensionsHasTheBytesOfTheFirstVersion() {
        byte[] frame = content(PeerCodec.encode(List.of(new PeerMessage.JobPlaced(JOB, true))));
        String expected = "91" + "02" + "a3642331" + "07" + "92" + "a161" + "09" + "a162" + "00" + "64" + "14"
                + "cb4072c00000000000" + "cb406f400000000000" + "c3";
        assertEquals(expected, HexFormat.of().formatHex(frame));
    }

    /** A field that the other side does not know must not cost it the message or the connection. */
    @Test
    void extensionsFollowTheMessagesAndAreReadBack() throws Exception {
        TrafficClass traffic = new TrafficClass("customer", 1, 2);
        List<PeerMessage> extended = List.of(
                new PeerMessage.Ping(),
                new PeerMessage.JobPlaced(JOB.withTraffic(traffic), true),
                new PeerMessage.PlacementRequest(REQUEST.withTraffic(traffic)),
                new PeerMessage.PlacementRefused(ID, 700, Optional.of(WaitReason.NO_TIME)),
                new PeerMessage.PlacementChosen(
                        JOB.withTraffic(traffic),
                        new Placement(JOB.engines(), JOB.heldTokens(), 1, 2, 3),
                        Optional.of(WaitReason.ORDER)));
        List<PeerMessage> plain = List.of(
                new PeerMessage.Ping(),
                new PeerMessage.JobPlaced(JOB, true),
                new PeerMessage.PlacementRequest(REQUEST),
                new PeerMessage.PlacementRefused(ID, 700),
                new PeerMessage.PlacementChosen(JOB, new Placement(JOB.engines(), JOB.heldTokens(), 1, 2, 3)));
        byte[] withExtensions = content(PeerCodec.encode(extended));
        byte[] firstVersion = content(PeerCodec.encode(plain));
        assertEquals(extended, PeerCodec.decode(Buffer.buffer(withExtensions)));
        assertArrayEquals(firstVersion, Arrays.copyOf(withExtensions, firstVersion.length));
    }

    @Test
    void anExtensionOfALaterVersionIsSkipped() throws Exception {
        Buffer frame = Buffer.buffer(content(PeerCodec.encode(List.of(new PeerMessage.Ping()))));
        frame.appendBytes(HexFormat.of().parseHex("92" + "63" + "00" + "c403010203" + "01" + "07" + "c400"));
        assertEquals(List.of(new PeerMessage.Ping()), PeerCodec.decode(frame));
    }

    /** A reason of a later version must not cost the answer to a request. */
    @Test
    void aReasonOfALaterVersionIsIgnored() throws Exception {
        PeerMessage refused = new PeerMessage.PlacementRefused(ID, 700);
        Buffer frame = Buffer.buffer(content(PeerCodec.encode(List.of(refused))));
        frame.appendBytes(HexFormat.of().parseHex("91" + "02" + "00" + "c404" + "a36e6577"));
        assertEquals(List.of(refused), PeerCodec.decode(frame));
    }

    private static byte[] content(Buffer frame) {
        return frame.getBytes(PeerCodec.LENGTH_BYTES, frame.length());
    }

    @Test
    void malformedBytesAreReported() {
        assertThrows(EndiveholdException.class, () -> PeerCodec.decode(Buffer.buffer(new byte[] {1, 2, 3})));
        List<String> faults = new ArrayList<>();
        FrameReader reader = new FrameReader(message -> {}, faults::add);
        reader.handle(Buffer.buffer().appendInt(-1));
        assertEquals(1, faults.size());
    }
}
