package org.endivehold.daemon.grant;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;
import org.endivehold.daemon.peer.PeerTransport;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.wire.Message;

/** Requests of the grant protocol to any daemon, this one included. */
final class GrantMessenger {
    private final HostId self;
    private final PeerTransport peers;
    private final Map<Class<?>, BiFunction<HostId, Message, Future<? extends Message>>> local = new HashMap<>();

    GrantMessenger(HostId self, PeerTransport peers) {
        this.self = self;
        this.peers = peers;
    }

    <T extends Message> void handle(Class<T> kind, BiFunction<HostId, T, Future<? extends Message>> handler) {
        peers.handle(kind, handler);
        local.put(kind, (host, message) -> handler.apply(host, kind.cast(message)));
    }

    <T extends Message> Future<T> request(HostId to, Message message, Class<T> answer, long timeoutMillis) {
        Future<? extends Message> result = to.equals(self)
                ? local.get(message.getClass()).apply(self, message)
                : peers.request(to, message, timeoutMillis);
        return result.compose(got -> answer.isInstance(got)
                ? Future.succeededFuture(answer.cast(got))
                : Future.failedFuture(new EndiveholdException(ErrorType.PEER_PROTOCOL, to, "unexpected answer")));
    }
}
