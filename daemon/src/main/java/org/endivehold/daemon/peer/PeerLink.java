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
 * The outgoing side towards one peer: dials when there is something to send, sends in order, matches answers to
 * requests. Between failed attempts it fails calls at once until the backoff has passed.
 */
final class PeerLink implements PeerConnection.Listener {
    private static final int MAX_WAITING = 1_024;
    private static final int MAX_PENDING = 4_096;

    private final HostId peer;
    private final PeerDialer dialer;
    private final Vertx vertx;
    private final Ticker ticker;
    private final ErrorManager errors;
    private final Backoff backoff;
    private final Deque<Outgoing> waiting = new ArrayDeque<>();
    private final Map<Integer, Pending> pending = new HashMap<>();
    private PeerAddress address;
    private PeerConnection connection;
    private boolean dialing;
    private long notBefore = Long.MIN_VALUE;
    private int lastCorrelation;

    private record Outgoing(int correlation, Message message) {}

    private record Pending(Promise<Message> promise, long timer) {}

    /** Where a peer listens. */
    record PeerAddress(String address, int port) {}

    /** Opens connections. */
    interface PeerDialer {
        /** Connects and sends the own hello. */
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

    /** Sets the address; a change drops the present connection. */
    void address(PeerAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        encourage();
        if (connection != null) {
            connection.close();
        }
    }

    /** The peer is known to be up: dial again without waiting for the backoff. */
    void encourage() {
        notBefore = Long.MIN_VALUE;
        backoff.reset();
    }

    /** Tells whether the peer has introduced itself on the present connection. */
    boolean isOpen() {
        return connection != null && connection.hello() != null;
    }

    void send(Message message) {
        offer(new Outgoing(0, message));
    }

    Future<Message> request(Message message, long timeoutMillis) {
        if (pending.size() >= MAX_PENDING) {
            return Future.failedFuture(unreachable());
        }
        int correlation = nextCorrelation();
        Promise<Message> promise = Promise.promise();
        long timer = vertx.setTimer(
                Math.max(1, timeoutMillis),
                t -> settle(-correlation, null, new EndiveholdException(ErrorType.PEER_TIMEOUT, peer, timeoutMillis)));
        pending.put(correlation, new Pending(promise, timer));
        if (!offer(new Outgoing(correlation, message))) {
            settle(-correlation, null, unreachable());
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
            throw new EndiveholdException(ErrorType.PEER_PROTOCOL, peer, "introduced itself as " + hello.host());
        }
        connection = opened;
        backoff.reset();
        for (Outgoing next = waiting.poll(); next != null; next = waiting.poll()) {
            write(next);
        }
    }

    @Override
    public void received(PeerConnection from, int correlation, Message message) {
        if (message instanceof Failure failure) {
            settle(correlation, null, PeerFailures.read(peer, failure));
        } else {
            settle(correlation, message, null);
        }
    }

    @Override
    public void closed(PeerConnection gone) {
        if (gone == connection) {
            connection = null;
            postpone();
            failAll();
        }
    }

    private boolean offer(Outgoing next) {
        if (isOpen()) {
            return write(next);
        }
        if (address == null || ticker.millis() < notBefore || waiting.size() >= MAX_WAITING) {
            return false;
        }
        waiting.add(next);
        dial();
        return true;
    }

    private boolean write(Outgoing next) {
        try {
            connection.write(next.correlation(), next.message());
            return true;
        } catch (EndiveholdException e) {
            errors.report("peer", e);
            settle(-next.correlation(), null, e);
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
                postpone();
                failAll();
            } else if (target.equals(address)) {
                connection = result.result();
            } else {
                result.result().close();
                failAll();
            }
        });
    }

    private void postpone() {
        notBefore = ticker.millis() + backoff.nextMillis();
    }

    private void failAll() {
        waiting.clear();
        List<Integer> open = new ArrayList<>(pending.keySet());
        for (int correlation : open) {
            settle(-correlation, null, unreachable());
        }
    }

    private void settle(int correlation, Message answer, EndiveholdException failure) {
        Pending found = pending.remove(-correlation);
        if (found == null) {
            return;
        }
        vertx.cancelTimer(found.timer());
        if (failure == null) {
            found.promise().complete(answer);
        } else {
            found.promise().fail(failure);
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
