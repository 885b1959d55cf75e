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

/** Turns an engine's error answers into typed failures. Only a documented refusal counts as not run. */
final class EngineErrors {
    private static final int CLIENT_ERROR = 400;

    private EngineErrors() {}

    /**
     * Reads an error answer.
     *
     * @param upstream the engine
     * @param status HTTP status
     * @param body the answer
     * @param stream the stream that the call was about, if any
     * @return the failure
     */
    static EndiveholdException of(UpstreamName upstream, int status, Buffer body, Optional<StreamId> stream) {
        Optional<ErrorBody.Detail> detail =
                ProtocolJson.read(body.getBytes(), ErrorBody.class).flatMap(b -> Optional.ofNullable(b.error()));
        if (status < CLIENT_ERROR || detail.isEmpty() || detail.get().code() == null) {
            return new EndiveholdException(
                    RunOutcome.UNKNOWN, ErrorType.UPSTREAM_PROTOCOL, upstream, "status " + status);
        }
        ErrorBody.Detail error = detail.get();
        RunOutcome run = error.started() ? RunOutcome.UNKNOWN : RunOutcome.NO;
        if (error.code() == ErrorBody.Code.NOT_FOUND && stream.isPresent()) {
            return new EndiveholdException(run, ErrorType.STREAM_UNKNOWN, stream.get());
        }
        return new EndiveholdException(
                run, ErrorType.UPSTREAM_REFUSED, upstream, error.code().word() + ": " + error.message());
    }

    /**
     * Tells whether an order was refused for its old epoch.
     *
     * @param status HTTP status
     * @param body the answer
     * @return true if so
     */
    static boolean isFenced(int status, Buffer body) {
        return status >= CLIENT_ERROR
                && ProtocolJson.read(body.getBytes(), ErrorBody.class)
                        .map(ErrorBody::error)
                        .filter(error -> error.code() == ErrorBody.Code.FENCED)
                        .isPresent();
    }
}
