package org.endivehold.daemon.peer;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.wire.Message;

/** The handlers of all kinds of messages. */
final class PeerHandlers {
    private final Map<Class<?>, BiFunction<HostId, Message, Future<? extends Message>>> handlers = new HashMap<>();

    <T extends Message> void put(Class<T> kind, BiFunction<HostId, T, Future<? extends Message>> handler) {
        handlers.put(kind, (sender, message) -> handler.apply(sender, kind.cast(message)));
    }

    /**
     * Hands a message to its handler.
     *
     * @param sender the sender
     * @param message the message
     * @return the handler's answer; fails with {@code PEER_PROTOCOL} if there is no handler, and with the handler's own
     *     failure also if it throws
     */
    Future<Message> call(HostId sender, Message message) {
        BiFunction<HostId, Message, Future<? extends Message>> handler = handlers.get(message.getClass());
        if (handler == null) {
            return Future.failedFuture(new EndiveholdException(
                    ErrorType.PEER_PROTOCOL,
                    sender,
                    "no handler for " + message.getClass().getSimpleName()));
        }
        try {
            return handler.apply(sender, message).map(answer -> (Message) answer);
        } catch (RuntimeException e) {
            return Future.failedFuture(e);
        }
    }
}
