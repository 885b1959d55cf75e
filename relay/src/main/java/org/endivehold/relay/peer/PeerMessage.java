package org.endivehold.relay.peer;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.crash.SoundTrait;
import org.endivehold.relay.crash.SuspectTrait;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.limit.RateLimitAnnouncement;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.schedule.EngineRequest;
import org.endivehold.relay.schedule.WaitReason;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StorePosition;

/** A message between daemons. */
public sealed interface PeerMessage {
    /** First message on each connection, from both sides; identifies the sender. */
    record Hello(DaemonEntry daemon) implements PeerMessage {}

    /** The member list of the sender. */
    record Members(List<Member> members) implements PeerMessage {}

    /**
     * An entry of a member list.
     *
     * @param daemon the daemon
     * @param ageMillis time since it was last seen
     */
    record Member(DaemonEntry daemon, long ageMillis) {}

    /**
     * A generation request was sent to engines.
     *
     * @param job the request and its engines
     * @param decoding whether it already generates output tokens
     */
    record JobPlaced(EngineJob job, boolean decoding) implements PeerMessage {}

    /** A job produced its first output token. */
    record JobDecoding(JobId id) implements PeerMessage {}

    /** A job ended, or its placement request was cancelled. */
    record JobEnded(JobId id) implements PeerMessage {}

    /** Requests a placement on engines. */
    record PlacementRequest(EngineRequest request) implements PeerMessage {}

    /** A placement request is queued until engines become available. */
    record PlacementQueued(JobId id) implements PeerMessage {}

    /** A placement request was answered with engines; {@code reason}: why it had waited, if it had. */
    record PlacementChosen(EngineJob job, Placement placement, Optional<WaitReason> reason) implements PeerMessage {
        /** Creates an answer to a request that did not wait. */
        public PlacementChosen(EngineJob job, Placement placement) {
            this(job, placement, Optional.empty());
        }
    }

    /** A placement request was refused; the caller may retry after {@code retryAfterMillis}. */
    record PlacementRefused(JobId id, double retryAfterMillis, Optional<WaitReason> reason) implements PeerMessage {
        /** Creates a refusal without a reason. */
        public PlacementRefused(JobId id, double retryAfterMillis) {
            this(id, retryAfterMillis, Optional.empty());
        }
    }

    /**
     * An upstream failed and the sender ejects it.
     *
     * @param upstream id of the upstream
     * @param ejectionMillis duration of the ejection
     */
    record UpstreamFailed(String upstream, int ejectionMillis) implements PeerMessage {}

    /**
     * An upstream runs requests, but failed one or is slower than its profile.
     *
     * @param upstream id of the upstream
     * @param failed whether it failed a request that it ran
     * @param slowdown measured time divided by the time that the profile predicts; greater than 1 if it is slower
     */
    record UpstreamObserved(String upstream, boolean failed, double slowdown) implements PeerMessage {}

    /**
     * An upstream told the sender that it is leaving.
     *
     * @param upstream id of the upstream
     * @param startedAtMillis start of the upstream that is leaving; a later one with the same id is not
     */
    record UpstreamLeaving(String upstream, long startedAtMillis) implements PeerMessage {}

    /**
     * An upstream told the sender how many requests a second it takes from all daemons.
     *
     * @param announcement what the upstream said
     * @param askedMillis time since the request was sent that the upstream answered, in milliseconds
     */
    record RateLimitAnnounced(RateLimitAnnouncement announcement, double askedMillis) implements PeerMessage {}

    /**
     * The sender sent a request to an upstream that takes a limited number of them from all daemons.
     *
     * @param upstream id of the upstream
     * @param startedAtMillis start of the upstream
     */
    record LimitedRequestSent(String upstream, long startedAtMillis) implements PeerMessage {}

    /** What the sender knows against traits of requests under which upstreams ended. */
    record TraitsSuspected(List<SuspectTrait> traits) implements PeerMessage {}

    /** Traits of requests that an upstream has answered without ending. */
    record TraitsSound(List<SoundTrait> traits) implements PeerMessage {}

    /** The sender has this version of the operators' configuration in force. */
    record ConfigurationAnnounced(long version) implements PeerMessage {}

    /**
     * Requests the document of a newer configuration.
     *
     * @param version version in force at the sender, or {@link #NONE}
     */
    record ConfigurationRequest(long version) implements PeerMessage {
        /** No version is in force; smaller than all versions. */
        public static final long NONE = Long.MIN_VALUE;
    }

    /** The document of the configuration that is in force at the sender. */
    record ConfigurationDocument(Buffer document) implements PeerMessage {}

    /**
     * Requests a newer copy of the store's items.
     *
     * @param prefix prefix of the items
     * @param position position of the sender's copy
     */
    record CopyRequest(String prefix, StorePosition position) implements PeerMessage {}

    /** A complete copy of the store's items with a prefix, as of a point in its history. */
    record Copy(String prefix, StorePosition position, List<SharedStore.Item> items) implements PeerMessage {}

    /**
     * The sender watches the store, and its copy of the items is current.
     *
     * @param prefix prefix of the items
     * @param position position of the sender's copy
     * @param changedAt point since which no item has changed
     * @param sinceOutageMillis time since the store answered the sender again after an outage
     */
    record CopyCurrent(String prefix, StorePosition position, StorePosition changedAt, double sinceOutageMillis)
            implements PeerMessage {}

    /**
     * Changes that the store reported to the sender.
     *
     * @param prefix prefix of the items
     * @param after point after which {@code changes} is complete
     * @param changes the changes
     */
    record CopyChanged(String prefix, StorePosition after, SharedStore.Changes changes) implements PeerMessage {}

    /**
     * The services that a daemon does not reach.
     *
     * @param daemon name of the daemon
     * @param number increases with each report of this daemon; an older report says nothing
     * @param lostServices names of the services; empty if it reaches all
     */
    record PathsReported(String daemon, long number, List<String> lostServices) implements PeerMessage {}

    /**
     * First message on a connection of its own: the sender has a request that it cannot deliver.
     *
     * @param daemon name of the sender
     * @param service service that has to run the request
     * @param version version of the configuration by which the sender admitted the request
     */
    record ForwardOffer(String daemon, String service, long version) implements PeerMessage {}

    /** The sender takes the request that it was offered. */
    record ForwardAccepted() implements PeerMessage {}

    /** The sender does not take the request that it was offered; it will not run there. */
    record ForwardDeclined(String reason) implements PeerMessage {}

    /**
     * A request that was accepted; {@link ForwardedBytes} with its body follow.
     *
     * @param service service that has to run it
     * @param method HTTP method
     * @param uri path and query as the caller sent them
     * @param path path without the query
     * @param headers headers of the caller without hop-by-hop headers
     * @param bodyBytes length of the body
     * @param customer customer to whom the sender attributed it, if any
     * @param remainingMillis time until the response has to be complete, in milliseconds
     * @param resumeAfter id of the last event that the caller has received, if a stream is resumed
     * @param sends how often it was sent to upstreams
     * @param possibleRuns how many upstreams may have run it
     * @param counted whether the sender has counted it for the retry budget
     */
    record ForwardedRequest(
            String service,
            String method,
            String uri,
            String path,
            List<Header> headers,
            int bodyBytes,
            Optional<Customer> customer,
            long remainingMillis,
            OptionalLong resumeAfter,
            int sends,
            int possibleRuns,
            boolean counted)
            implements PeerMessage {}

    /** A header of an HTTP message. */
    record Header(String name, String value) {}

    /**
     * The head of an upstream's response to a forwarded request.
     *
     * @param status HTTP status
     * @param stream whether events follow, each in a {@link ForwardedBytes}; otherwise the whole body
     * @param headers headers of the upstream
     */
    record ForwardedHead(int status, boolean stream, List<Header> headers) implements PeerMessage {}

    /** Bytes of the body of a forwarded request or of its response. */
    record ForwardedBytes(Buffer bytes) implements PeerMessage {}

    /** The response to a forwarded request is complete. */
    record ForwardedEnd() implements PeerMessage {}

    /**
     * A forwarded request failed at the sender.
     *
     * @param status HTTP status that the sender would answer; 503 says that the request did not run
     * @param type what failed
     * @param retryAfterMillis time after which the caller may retry, in milliseconds; 0 for none
     */
    record ForwardedFailure(int status, ErrorType type, double retryAfterMillis) implements PeerMessage {}

    /** Keeps the connection alive; answered with another ping by the side that accepted the connection. */
    record Ping() implements PeerMessage {}

    /** The sender shuts down. */
    record Bye() implements PeerMessage {}
}
