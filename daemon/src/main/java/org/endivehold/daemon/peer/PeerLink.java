package org.endivehold.daemon.peer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorManager;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Ticker;
import org.endivehold.wire.Failure;
import org.endivehold.wire.Hello;
import org.endivehold.wire.Message;

/**
 * The outgoing connection to one peer: dials when there is a message to send, sends in order and matches answers to
 * requests. After a failed attempt or a lost connection, calls fail at once until the backoff delay has passed.
 */
final class PeerLink implements PeerConnection.Listener {
    private static final int MAX_QUEUED_MESSAGES = 1_024;
    private static final int MAX_PENDING_REQUESTS = 4_096;

    private final HostId peer;
    private final PeerDialer dialer;
    private final Vertx vertx;
    private final Ticker ticker;
    private final ErrorManager errors;
    private final Backoff backoff;
    private final Deque<OutgoingMessage> sendQueue = new ArrayDeque<>();
    private final Map<Integer, PendingRequest> pendingRequests = new HashMap<>();
    private PeerAddress address;
    private PeerConnection connection;
    private boolean dialing;
    private long earliestDialMillis = Long.MIN_VALUE;
    private int lastCorrelation;

    private record OutgoingMessage(int correlation, Message message) {}

    private record PendingRequest(Promise<Message> promise, long timer) {}

    /** IP address and TCP port at which a peer accepts connections. */
    record PeerAddress(String address, int port) {}

    /** Opens connections to peers. */
    interface PeerDialer {
        /** Connects and sends this daemon's hello. */
        Future<PeerConnection> dial(PeerAddress address, PeerConnection.Listener listener);
    }

    PeerLink(HostId peer, PeerDialer dialer, Vertx vertx, Ticker ticker, ErrorManager errors, Backoff backoff) {
        this.peer = peer;
        this.dialer = dialer;
        this.vertx = vertx;
        this.ticker = ticker;
        this.errors = errors;
        this.backoff = backoff;
    }

    /** Sets the address of the peer; a change closes the current connection, and the new address is dialed at once. */
    void address(PeerAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        abandonConnection();
        resetBackoff();
    }

    /** Closes the current connection; its end, which is reported later, no longer delays the next dial. */
    private void abandonConnection() {
        if (connection == null) {
            return;
        }
        PeerConnection abandoned = connection;
        connection = null;
        abandoned.close();
        failAll();
    }

    /** Allows dialing at once, because the peer is known to be up. */
    void resetBackoff() {
        earliestDialMillis = Long.MIN_VALUE;
        backoff.reset();
    }

    /** Returns whether the peer's hello has arrived on the current connection. */
    boolean isOpen() {
        return connection != null && connection.hello() != null;
    }

    void send(Message message) {
        writeOrQueue(new OutgoingMessage(0, message));
    }

    Future<Message> request(Message message, long timeoutMillis) {
        if (pendingRequests.size() >= MAX_PENDING_REQUESTS) {
            return Future.failedFuture(unreachable());
        }
        int correlation = nextCorrelation();
        Promise<Message> promise = Promise.promise();
        long timer = vertx.setTimer(
                Math.max(1, timeoutMillis),
                t -> completeRequest(
                        -correlation, null, new EndiveholdException(ErrorType.PEER_TIMEOUT, peer, timeoutMillis)));
        pendingRequests.put(correlation, new PendingRequest(promise, timer));
        if (!writeOrQueue(new OutgoingMessage(correlation, message))) {
            completeRequest(-correlation, null, unreachable());
        }
        return promise.future();
    }

    void close() {
        address = null;
        if (connection != null) {
            connection.close();
        }
        failAll();
    }

    @Override
    public void opened(PeerConnection opened, Hello hello) throws EndiveholdException {
        if (!hello.host().equals(peer)) {
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "identified itself as " + hello.host());
        }
        connection = opened;
        backoff.reset();
        for (OutgoingMessage next = sendQueue.poll(); next != null; next = sendQueue.poll()) {
            write(next);
        }
    }

    @Override
    public void received(PeerConnection from, int correlation, Message message) {
        if (message instanceof Failure failure) {
            completeRequest(correlation, null, PeerFailures.toException(peer, failure));
        } else {
            completeRequest(correlation, message, null);
        }
    }

    @Override
    public void closed(PeerConnection closed) {
        if (closed == connection) {
            connection = null;
            delayNextDial();
            failAll();
        }
    }

    /** Writes or queues a message; returns false if it is dropped. */
    private boolean writeOrQueue(OutgoingMessage next) {
        if (isOpen()) {
            return write(next);
        }
        if (address == null || ticker.millis() < earliestDialMillis || sendQueue.size() >= MAX_QUEUED_MESSAGES) {
            return false;
        }
        sendQueue.add(next);
        dial();
        return true;
    }

    private boolean write(OutgoingMessage next) {
        try {
            connection.write(next.correlation(), next.message());
            return true;
        } catch (EndiveholdException e) {
            errors.report("peer", e);
            completeRequest(-next.correlation(), null, e);
            return false;
        }
    }

    private void dial() {
        if (dialing || connection != null) {
            return;
        }
        dialing = true;
        PeerAddress target = address;
        dialer.dial(target, this).onComplete(result -> {
            dialing = false;
            if (result.failed()) {
                delayNextDial();
                failAll();
            } else if (target.equals(address)) {
                connection = result.result();
            } else {
                result.result().close();
                failAll();
            }
        });
    }

    private void delayNextDial() {
        earliestDialMillis = ticker.millis() + backoff.nextMillis();
    }

    /** Drops the queued messages and fails all pending requests as unreachable. */
    private void failAll() {
        sendQueue.clear();
        List<Integer> correlations = new ArrayList<>(pendingRequests.keySet());
        for (int correlation : correlations) {
            completeRequest(-correlation, null, unreachable());
        }
    }

    /** Completes a request by the correlation of its answer, which is the negative of the request's. */
    private void completeRequest(int answerCorrelation, Message answer, EndiveholdException failure) {
        PendingRequest request = pendingRequests.remove(-answerCorrelation);
        if (request == null) {
            return;
        }
        vertx.cancelTimer(request.timer());
        if (failure == null) {
            request.promise().complete(answer);
        } else {
            request.promise().fail(failure);
        }
    }

    private int nextCorrelation() {
        lastCorrelation = lastCorrelation == Integer.MAX_VALUE ? 1 : lastCorrelation + 1;
        return lastCorrelation;
    }

    private EndiveholdException unreachable() {
        return new EndiveholdException(ErrorType.PEER_UNREACHABLE, peer);
    }
}
