package org.endivehold.relay.peer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A request that another daemon forwards is looked at after a moment. If that daemon has gone meanwhile, the request
 * must end all the same, or it counts as active for good and a stop waits for it.
 */
class PeerStreamTest {
    private static final int LIMIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    @Test
    void theEndOfAConnectionIsReportedToAHandlerThatComesLater() throws Exception {
        Promise<NetSocket> accepted = Promise.promise();
        NetServer server = vertx.createNetServer().connectHandler(accepted::complete);
        await(server.listen(0, "127.0.0.1"));
        NetClient client = vertx.createNetClient();
        NetSocket socket = await(client.connect(server.actualPort(), "127.0.0.1"));
        PeerStream stream = new PeerStream(socket);
        Promise<Void> ended = Promise.promise();
        Promise<Void> closed = Promise.promise();
        stream.handle(message -> {}, closed::tryComplete);
        await(accepted.future().compose(NetSocket::close));
        await(closed.future());
        stream.handle(message -> {}, ended::complete);
        assertTrue(ended.future().isComplete());
    }

    /** An exception only reached the event loop; the other daemon waited for an answer until its timeout. */
    @Test
    void aMessageThatIsNotHandledClosesTheConnection() throws Exception {
        Promise<NetSocket> accepted = Promise.promise();
        NetServer server = vertx.createNetServer().connectHandler(accepted::complete);
        await(server.listen(0, "127.0.0.1"));
        NetSocket socket = await(vertx.createNetClient().connect(server.actualPort(), "127.0.0.1"));
        PeerStream stream = new PeerStream(socket);
        Promise<Void> closed = Promise.promise();
        stream.handle(
                message -> {
                    throw new IllegalStateException("a fault of this daemon");
                },
                closed::complete);
        NetSocket other = await(accepted.future());
        Promise<Void> otherClosed = Promise.promise();
        other.closeHandler(gone -> otherClosed.complete());
        await(other.write(PeerCodec.encode(List.of(new PeerMessage.Ping(), new PeerMessage.Ping()))));
        await(closed.future());
        await(otherClosed.future());
    }
}
