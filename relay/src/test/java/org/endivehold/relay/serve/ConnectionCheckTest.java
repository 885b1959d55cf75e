package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConnectionCheckTest {
    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private ProcessCheck.Result check(SocketAddress address) throws Exception {
        return new ConnectionCheck(vertx)
                .check(address)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    @Test
    void aProcessIsAliveWhileItListensAndEndedWhenItsHostRefuses() throws Exception {
        ScriptedUpstream upstream = new ScriptedUpstream();
        SocketAddress address = upstream.address();
        assertEquals(ProcessCheck.Result.ALIVE, check(address));
        upstream.close();
        assertEquals(ProcessCheck.Result.ENDED, check(address));
    }
}
