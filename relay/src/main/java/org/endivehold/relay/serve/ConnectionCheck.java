package org.endivehold.relay.serve;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;

/** Checks a process by opening a connection to it, which is closed at once. */
public final class ConnectionCheck implements ProcessCheck {
    /** Timeout for opening the connection, in milliseconds; a caller may be waiting for its request to be retried. */
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private final NetClient client;

    /** Creates a check with connections of {@code vertx}. */
    public ConnectionCheck(Vertx vertx) {
        client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    @Override
    public Future<Result> check(SocketAddress address) {
        return client.connect(address).transform(opened -> Future.succeededFuture(result(opened)));
    }

    private static Result result(AsyncResult<NetSocket> opened) {
        if (opened.succeeded()) {
            opened.result().close();
            return Result.ALIVE;
        }
        boolean refused =
                opened.cause() instanceof ConnectException && !(opened.cause() instanceof ConnectTimeoutException);
        return refused ? Result.ENDED : Result.UNKNOWN;
    }
}
