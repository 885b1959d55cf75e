package org.endivehold.upstream;

import java.util.concurrent.CompletionStage;

/** One plain service beside the engines. */
public interface PlainService {
    /**
     * Sends a call.
     *
     * @param call the call
     * @return the answer, whatever its status; fails with {@code UPSTREAM_UNREACHABLE} and run outcome {@code NO} only
     *     if no byte was sent, and with run outcome {@code UNKNOWN} otherwise
     */
    CompletionStage<PlainAnswer> call(PlainCall call);

    /**
     * Reads the load report, which lags.
     *
     * @return the last report
     */
    CompletionStage<PlainLoad> load();
}
