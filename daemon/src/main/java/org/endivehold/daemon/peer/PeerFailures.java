package org.endivehold.daemon.peer;

import java.util.Arrays;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.wire.Failure;

/** Turns failures into messages and back. */
final class PeerFailures {
    private PeerFailures() {}

    static Failure write(Throwable failure) {
        EndiveholdException e = EndiveholdException.unwrap(failure);
        return new Failure(e.type().code(), e.getMessage());
    }

    static EndiveholdException read(HostId peer, Failure failure) {
        ErrorType type = Arrays.stream(ErrorType.values())
                .filter(t -> t.code() == failure.code())
                .findFirst()
                .orElse(ErrorType.INTERNAL);
        return new RemoteException(type, peer + ": " + failure.message());
    }

    /** A failure at a peer, with the peer's own message in place of the filled template. */
    private static final class RemoteException extends EndiveholdException {
        private static final long serialVersionUID = 1L;

        private final String remote;

        RemoteException(ErrorType type, String remote) {
            super(type, remote, "", "", "");
            this.remote = remote;
        }

        @Override
        public String getMessage() {
            return remote;
        }
    }
}
