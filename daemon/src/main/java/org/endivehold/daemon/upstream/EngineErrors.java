package org.endivehold.daemon.upstream;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.protocol.ErrorBody;
import org.endivehold.upstream.protocol.ProtocolJson;

/**
 * Converts error answers of an engine to typed exceptions. The run outcome is {@code NO} only if a well-formed error
 * body says that the run has not started.
 */
final class EngineErrors {
    private static final int MIN_ERROR_STATUS = 400;

    private EngineErrors() {}

    /**
     * Converts an error answer.
     *
     * @param upstream the engine that answered
     * @param status HTTP status
     * @param body body of the answer
     * @param stream the stream that the call addressed, if any
     * @return the failure; {@code UPSTREAM_PROTOCOL} if the answer is not a well-formed error
     */
    static EndiveholdException of(UpstreamName upstream, int status, Buffer body, Optional<StreamId> stream) {
        Optional<ErrorBody.Detail> detail =
                ProtocolJson.read(body.getBytes(), ErrorBody.class).flatMap(b -> Optional.ofNullable(b.error()));
        if (status < MIN_ERROR_STATUS || detail.isEmpty() || detail.get().code() == null) {
            return new EndiveholdException(
                    RunOutcome.UNKNOWN, ErrorType.UPSTREAM_PROTOCOL, upstream, "status " + status);
        }
        ErrorBody.Detail error = detail.get();
        RunOutcome run = error.started() ? RunOutcome.UNKNOWN : RunOutcome.NO;
        if (error.code() == ErrorBody.Code.NOT_FOUND && stream.isPresent()) {
            return new EndiveholdException(run, ErrorType.STREAM_UNKNOWN, stream.get());
        }
        return new EndiveholdException(
                run, ErrorType.UPSTREAM_REFUSED, upstream, error.code().label() + ": " + error.message());
    }

    /**
     * Returns whether an order was refused because its epoch is older than one that the engine knows.
     *
     * @param status HTTP status
     * @param body body of the answer
     * @return true if the error code is {@code FENCED}
     */
    static boolean isFenced(int status, Buffer body) {
        return status >= MIN_ERROR_STATUS
                && ProtocolJson.read(body.getBytes(), ErrorBody.class)
                        .map(ErrorBody::error)
                        .filter(error -> error.code() == ErrorBody.Code.FENCED)
                        .isPresent();
    }
}
