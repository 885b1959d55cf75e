package org.endivehold.daemon.peer;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.wire.Message;

/** The message handlers by message type. */
final class PeerHandlers {
    private final Map<Class<?>, BiFunction<HostId, Message, Future<? extends Message>>> handlers = new HashMap<>();

    <T extends Message> void put(Class<T> type, BiFunction<HostId, T, Future<? extends Message>> handler) {
        handlers.put(type, (sender, message) -> handler.apply(sender, type.cast(message)));
    }

    /**
     * Passes a message to the handler of its type.
     *
     * @param sender the sender
     * @param message the message
     * @return the handler's answer; fails with {@code PEER_PROTOCOL} if there is no handler, and with the handler's own
     *     failure, including an exception that it throws
     */
    Future<Message> dispatch(HostId sender, Message message) {
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
