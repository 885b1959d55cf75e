package org.endivehold.relay.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** Another daemon, which hands on each request that is offered to it, so that a relay of the test can take it. */
public final class RelayNeighbour {
    private static final int LIMIT_SECONDS = 10;

    private final String name;
    private final BiConsumer<PeerMessage.ForwardOffer, PeerStream> receiver;
    private final NetServer server;

    /** Starts a neighbour on the event loop of the relay that takes the requests. */
    public RelayNeighbour(Vertx vertx, String name, BiConsumer<PeerMessage.ForwardOffer, PeerStream> receiver)
            throws Exception {
        this.name = name;
        this.receiver = receiver;
        server = vertx.createNetServer().connectHandler(this::connected);
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns how this daemon is known to others. */
    public DaemonEntry entry() {
        return new DaemonEntry(name, "127.0.0.1", server.actualPort(), "z", 1);
    }

    private void connected(NetSocket socket) {
        PeerStream stream = new PeerStream(socket);
        stream.handle(
                message -> {
                    if (message instanceof PeerMessage.ForwardOffer offer) {
                        receiver.accept(offer, stream);
                    }
                },
                () -> {});
    }
}
