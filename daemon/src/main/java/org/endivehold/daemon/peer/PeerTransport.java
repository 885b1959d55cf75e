package org.endivehold.daemon.peer;

import io.vertx.core.Future;
import java.util.function.BiFunction;
import org.endivehold.misc.HostId;
import org.endivehold.wire.Message;

/**
 * Sends messages to other daemons, in order and at most once: a message may be lost. Messages to a peer share one TCP
 * connection.
 */
public interface PeerTransport {
    /** Name of the service. */
    String NAME = "peers";

    /**
     * Sets the address of a peer, replacing an earlier one; a peer without an address cannot be reached.
     *
     * @param peer the peer
     * @param address IP address
     * @param port TCP port
     */
    void setAddress(HostId peer, String address, int port);

    /**
     * Sends a message without waiting for an answer; the message is dropped if the peer cannot be reached.
     *
     * @param peer the peer
     * @param message the message
     */
    void send(HostId peer, Message message);

    /**
     * Sends a message and waits for its answer.
     *
     * @param peer the peer
     * @param message the message
     * @param timeoutMillis time to wait, in milliseconds
     * @return the answer; fails with {@code PEER_UNREACHABLE}, {@code PEER_TIMEOUT} or the peer's typed failure
     */
    Future<Message> request(HostId peer, Message message, long timeoutMillis);

    /**
     * Sets the handler of a message type, replacing an earlier one.
     *
     * @param type the record class
     * @param handler receives the sender and the message; the result of its future, if not null, is sent as the answer
     * @param <T> the record type
     */
    <T extends Message> void setHandler(Class<T> type, BiFunction<HostId, T, Future<? extends Message>> handler);
}
