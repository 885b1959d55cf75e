package org.endivehold.relay.peer;

import java.util.List;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.schedule.EngineRequest;
import org.endivehold.relay.state.SharedStore;

/** What daemons tell each other. */
public sealed interface PeerMessage {
    /** First message on each connection, from both sides: who speaks. */
    record Hello(DaemonEntry daemon) implements PeerMessage {}

    /** Daemons that the sender knows. */
    record Members(List<Member> members) implements PeerMessage {}

    /**
     * A daemon that the sender knows.
     *
     * @param daemon the daemon
     * @param ageMillis time since it was heard of
     */
    record Member(DaemonEntry daemon, long ageMillis) {}

    /** A request was sent to engines. */
    record JobPlaced(EngineJob job, boolean writing) implements PeerMessage {}

    /** A request produced its first token. */
    record JobWriting(JobId id) implements PeerMessage {}

    /** A request ended, or its wish for engines is taken back. */
    record JobEnded(JobId id) implements PeerMessage {}

    /** Asks for engines. */
    record EnginesWanted(EngineRequest request) implements PeerMessage {}

    /** A wish for engines waits until some come free. */
    record EnginesAwaited(JobId id) implements PeerMessage {}

    /** Engines were chosen. */
    record EnginesChosen(EngineJob job, Placement placement) implements PeerMessage {}

    /** No engine suits a wish; its caller may come back after a time. */
    record EnginesRefused(JobId id, double retryAfterMillis) implements PeerMessage {}

    /**
     * An upstream failed.
     *
     * @param upstream its id
     * @param outMillis how long the sender leaves it out
     */
    record UpstreamFailed(String upstream, int outMillis) implements PeerMessage {}

    /**
     * An upstream runs requests and fails, or slower than its profile.
     *
     * @param upstream its id
     * @param failed whether it failed a request that it ran
     * @param pace how many times slower than its profile it is
     */
    record UpstreamSeen(String upstream, boolean failed, double pace) implements PeerMessage {}

    /**
     * Asks for a newer copy of the store's items.
     *
     * @param prefix their prefix
     * @param revision revision of the copy that the sender has
     */
    record CopyWanted(String prefix, long revision) implements PeerMessage {}

    /** A copy of the store's items. */
    record Copy(String prefix, long revision, List<SharedStore.Item> items) implements PeerMessage {}

    /**
     * The sender watches the store, and its copy of the items is current.
     *
     * @param prefix their prefix
     * @param revision revision of the copy
     * @param changedAt revision since which nothing has changed
     * @param regainedMillis how long ago the store answered the sender again after failures
     */
    record CopyCurrent(String prefix, long revision, long changedAt, double regainedMillis) implements PeerMessage {}

    /**
     * Changes that the store reported to the sender.
     *
     * @param prefix prefix of the items
     * @param after revision after which these are all changes
     * @param changes the changes
     */
    record CopyChanged(String prefix, long after, SharedStore.Changes changes) implements PeerMessage {}

    /** Shows that the connection works. */
    record Ping() implements PeerMessage {}

    /** The sender stops. */
    record Bye() implements PeerMessage {}
}
