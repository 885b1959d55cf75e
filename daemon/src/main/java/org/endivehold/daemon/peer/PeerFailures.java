package org.endivehold.daemon.peer;

import java.util.Arrays;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.wire.Failure;

/** Converts failures to {@link Failure} messages and back. */
final class PeerFailures {
    private PeerFailures() {}

    static Failure toMessage(Throwable failure) {
        EndiveholdException e = EndiveholdException.unwrap(failure);
        return new Failure(e.type().code(), e.getMessage());
    }

    static EndiveholdException toException(HostId peer, Failure failure) {
        ErrorType type = Arrays.stream(ErrorType.values())
                .filter(t -> t.code() == failure.code())
                .findFirst()
                .orElse(ErrorType.INTERNAL);
        return new RemoteException(type, peer + ": " + failure.message());
    }

    /** A failure that a peer reported; its message is the peer's text instead of the type's message template. */
    private static final class RemoteException extends EndiveholdException {
        private static final long serialVersionUID = 1L;

        private final String remoteMessage;

        RemoteException(ErrorType type, String remoteMessage) {
            super(type, remoteMessage, "", "", "");
            this.remoteMessage = remoteMessage;
        }

        @Override
        public String getMessage() {
            return remoteMessage;
        }
    }
}
