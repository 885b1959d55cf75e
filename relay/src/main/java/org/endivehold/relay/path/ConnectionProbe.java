package org.endivehold.relay.path;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;

/** Probes a path with a TCP connection. */
public final class ConnectionProbe implements PathProbe {
    /** Timeout for opening the connection, in milliseconds; requests may be waiting for the result. */
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private final NetClient client;

    /** Creates a probe with connections of {@code vertx}. */
    public ConnectionProbe(Vertx vertx) {
        client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    @Override
    public Future<Boolean> reaches(SocketAddress address) {
        return client.connect(address)
                .onSuccess(NetSocket::close)
                .transform(opened -> Future.succeededFuture(opened.succeeded()));
    }
}
