package org.endivehold.cli;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards TCP connections to a local port; while cut, it closes all connections and every new one at once. */
final class TcpProxy {
    private final Vertx vertx;
    private final int target;
    private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();
    private NetServer server;
    private volatile boolean cut;

    TcpProxy(Vertx vertx, int target) {
        this.vertx = vertx;
        this.target = target;
    }

    int start() throws Exception {
        server = Fleet.await(
                vertx.createNetServer().connectHandler(this::connected).listen(0, "127.0.0.1"));
        return server.actualPort();
    }

    void cut(boolean isCut) {
        cut = isCut;
        vertx.runOnContext(ignored -> {
            if (isCut) {
                List.copyOf(sockets).forEach(NetSocket::close);
            }
        });
    }

    private void connected(NetSocket inbound) {
        if (cut) {
            inbound.close();
            return;
        }
        inbound.pause();
        vertx.createNetClient()
                .connect(target, "127.0.0.1")
                .onFailure(failure -> inbound.close())
                .onSuccess(outbound -> {
                    sockets.add(inbound);
                    inbound.handler(outbound::write);
                    outbound.handler(inbound::write);
                    inbound.closeHandler(closed -> {
                        sockets.remove(inbound);
                        outbound.close();
                    });
                    outbound.closeHandler(closed -> inbound.close());
                    inbound.resume();
                });
    }
}
