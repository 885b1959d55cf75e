package org.endivehold.relay.peer;

import java.util.List;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.state.SharedStore;

/** What daemons tell each other. */
public sealed interface PeerMessage {
    /**
     * First message on each connection.
     *
     * @param daemon name of the sender with the number of its start
     * @param host address of its peer port
     * @param port its peer port
     */
    record Hello(String daemon, String host, int port) implements PeerMessage {}

    /** A request was sent to engines. */
    record JobPlaced(EngineJob job, boolean writing) implements PeerMessage {}

    /** A request produced its first token. */
    record JobWriting(JobId id) implements PeerMessage {}

    /** A request ended. */
    record JobEnded(JobId id) implements PeerMessage {}

    /**
     * An upstream failed.
     *
     * @param upstream its id
     * @param outMillis how long the sender leaves it out
     */
    record UpstreamFailed(String upstream, int outMillis) implements PeerMessage {}

    /**
     * Asks for a newer copy of the store's items.
     *
     * @param prefix their prefix
     * @param revision revision of the copy that the sender has
     */
    record CopyWanted(String prefix, long revision) implements PeerMessage {}

    /** A copy of the store's items. */
    record Copy(String prefix, long revision, List<SharedStore.Item> items) implements PeerMessage {}

    /** Shows that the connection works. */
    record Ping() implements PeerMessage {}

    /** The sender stops. */
    record Bye() implements PeerMessage {}
}
