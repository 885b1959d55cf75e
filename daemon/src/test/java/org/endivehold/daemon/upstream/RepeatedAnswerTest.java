package org.endivehold.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.endivehold.misc.UpstreamName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A faulty upstream writes an earlier answer once more on a kept connection, when the next call arrives on it. If that
 * answer is a refusal, the next caller hears that its call did not run, although it did.
 */
class RepeatedAnswerTest {
    private static final long LIMIT_SECONDS = 10;
    private static final int CALL_MILLIS = 5_000;
    private static final String REFUSAL = answer("503 Full");

    private final Vertx vertx = Vertx.vertx();
    private int calls;

    private static String answer(String status) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Refuses the first call, and runs the others; on the connection of the first, the refusal is sent again. */
    private void serve(NetSocket socket) {
        boolean[] refusedHere = new boolean[1];
        socket.handler(request -> {
            calls++;
            if (calls == 1) {
                refusedHere[0] = true;
                socket.write(REFUSAL);
            } else {
                socket.write((refusedHere[0] ? REFUSAL : "") + answer("200 OK"));
            }
        });
    }

    @Test
    void anEarlierRefusalThatComesAgainIsNotTakenForTheNextAnswer() throws Exception {
        NetServer server = vertx.createNetServer().connectHandler(this::serve);
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        HttpClient connections = UpstreamService.newClient(vertx, 1);
        UpstreamHttpClient client =
                new UpstreamHttpClient(vertx, connections, new UpstreamName("p1"), "127.0.0.1", server.actualPort());
        assertEquals(503, status(client));
        assertEquals(200, status(client));
    }

    private static int status(UpstreamHttpClient client) throws Exception {
        return client.call(HttpMethod.POST, "/x", Map.of(), Buffer.buffer(), CALL_MILLIS)
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS)
                .status();
    }
}
