package org.endivehold.relay.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Another daemon, which accepts each request that is offered to it and answers it with prepared messages. */
public final class ScriptedNeighbour {
    private static final int LIMIT_SECONDS = 10;

    private final String name;
    private final NetServer server;
    private final List<PeerMessage> answer;
    private volatile Runnable onRequest = () -> {};
    private volatile boolean closing;
    private final AtomicInteger requests = new AtomicInteger();

    /** Starts a neighbour whose answers consist of some messages. */
    public ScriptedNeighbour(Vertx vertx, String name, PeerMessage... answer) throws Exception {
        this.name = name;
        this.answer = List.of(answer);
        server = vertx.createNetServer().connectHandler(this::connected);
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns how this daemon is known to others. */
    public DaemonEntry entry() {
        return new DaemonEntry(name, "127.0.0.1", server.actualPort(), "z", 1);
    }

    /** Returns the number of requests that have arrived. */
    public int requests() {
        return requests.get();
    }

    /** Sets an action that runs when a request has arrived, before it is answered. */
    public void onRequest(Runnable action) {
        onRequest = action;
    }

    /** Makes this daemon close the connection of a request after its answer, as a daemon does. */
    public void closeAfterAnswers() {
        closing = true;
    }

    private void connected(NetSocket socket) {
        PeerStream stream = new PeerStream(socket);
        stream.handle(message -> received(stream, message), () -> {});
    }

    private void received(PeerStream stream, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardOffer) {
            stream.send(new PeerMessage.ForwardAccepted());
        } else if (message instanceof PeerMessage.ForwardedRequest) {
            requests.incrementAndGet();
            onRequest.run();
            answer.forEach(stream::send);
            if (closing) {
                stream.close();
            }
        }
    }
}
